#!/usr/bin/env bash
# Builds the stand-ins and plays of the cases 11 to 15, into build/review-3.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -g -Wall -Wextra -Wshadow -Wno-maybe-uninitialized -I."
# shellcheck disable=SC2086
for source in review/standins-3/*.cpp; do
  g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
for play in review/1[1-5]/play.cpp; do
  [ -e "$play" ] || continue
  case=$(basename "$(dirname "$play")")
  # shellcheck disable=SC2086
  g++ $flags -c "$play" -o "$out/play-$case.main.o" &
done
wait
for main in "$out"/play-*.main.o; do
  g++ "$main" "$out"/net.o "$out"/store.o "$out"/worker.o \
    "$out"/deployment.o -o "${main%.main.o}" -lpthread
done
