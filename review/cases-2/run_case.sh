#!/usr/bin/env bash
# Runs the program of a case, from the root of the repository, for 115 s at
# most. Its settings and logs are in a temporary folder; KEEP_LOGS=DIR keeps a
# copy of it.
# usage: run_case.sh NUMBER
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for needed in "target/review-2/case_$1" target/packages/daemon/jasminetrackd; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file and run review/build-2.sh"
    exit 2
  fi
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export TROUBLE="${TROUBLE:-1}"
TMPDIR=$work timeout --kill-after=5 115 "target/review-2/case_$1" "review/$1"
code=$?
if [ "$code" -ge 2 ]; then
  # The program did not end the processes that it started, whose ids it wrote.
  cat "$work"/*/pids 2>/dev/null |
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done
fi
[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
[ "$code" -le 1 ] && exit "$code"
exit 2
