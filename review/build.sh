#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the scripts into build/review.
set -eu
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build/review
