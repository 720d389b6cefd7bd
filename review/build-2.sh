#!/usr/bin/env bash
# Builds the programs of the cases review/6 and above, each from its case.cpp,
# with the project's own stand-ins. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -Iplatform/tests -Ireview/cases-2)
standins=platform/tests/standins
sources=("$standins"/{cluster,gangs,http_session,rated_link,workers}.cpp
  review/standins/{http,proxy,store}.cpp)
objects=()
builds=()
for source in "${sources[@]}"; do
  object=$out/$(echo "$source" | tr '/' '_' | sed 's/cpp$/o/')
  g++ "${flags[@]}" -c "$source" -o "$object" &
  builds+=($!)
  objects+=("$object")
done
for build in "${builds[@]}"; do
  wait "$build"
done
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case_$number" -pthread
done
