#!/usr/bin/env bash
# Installs the Debian packages that the project builds with, where missing.
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy libcpprest-dev
  libwebsocketpp-dev prometheus-cpp-dev libyaml-cpp-dev libcli11-dev
  libboost-log-dev libboost-thread-dev libboost-filesystem-dev
  libcppunit-dev nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev
  libcurl4-openssl-dev libtomlplusplus-dev"
missing=""
for p in $packages; do
  dpkg-query -W -f '${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $p"
done
[ -z "$missing" ] && exit 0
sudo=$([ "$(id -u)" = 0 ] || echo sudo)
$sudo apt-get update -q
# shellcheck disable=SC2086
$sudo apt-get install -y -q $missing
