#!/usr/bin/env bash
# Runs the play of a case: standins-3/run_play.sh N. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. All processes that the play starts end with it; KEEP names a
# folder that gets the logs of the entry VMs.
set -u
case=$1
cd "$(dirname "$0")/../.."
play=build/review-3/play-$case
[ -x "$play" ] && [ -x target/packages/daemon/jasminetrackd ] || {
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
}
dir=$(mktemp -d)
"$play" "$dir" "review/$case/record.txt"
code=$?
# A play that ended by a signal has not ended its entry VMs.
if [ "$code" -gt 2 ] && [ -e "$dir/pids" ]; then
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$dir/pids"
fi
[ -n "${KEEP:-}" ] && mkdir -p "$KEEP" && cp "$dir"/* "$KEEP"/
rm -rf "$dir"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
