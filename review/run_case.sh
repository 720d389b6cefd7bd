#!/usr/bin/env bash
# Runs the scenario of a case in a temporary folder.
# usage: run_case.sh CASE_DIR, from the root of the repository
set -u
number=$(basename "$1")
program=build/review/case_$number
for needed in "$program" target/packages/daemon/jasminetrackd; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file and run review/build.sh"
    exit 2
  fi
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export TROUBLE="${TROUBLE:-1}"
timeout --kill-after=5 115 "$program" "$1" "$work"
code=$?
if [ "$code" -ge 2 ] && [ -f "$work/pids" ]; then
  # The scenario did not end the processes that it started.
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$work/pids"
fi
[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
