#!/usr/bin/env bash
# Builds and installs jasminetrackd and jasminetrack.
# usage: install.sh [PREFIX], /usr/local by default
set -eu
cd "$(dirname "$0")"
make build PRESET=release
cmake --install build/release --prefix "${1:-/usr/local}"
