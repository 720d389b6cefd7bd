#!/usr/bin/env bash
# Prints the platform's list of VMs for the demo: entry VMs and workers.
# usage: make_vms.sh BASE_PORT
set -eu
base=$1
entry() {
  printf '{"name":"entry-%s","role":"entry","region":"%s",' "$1" "$2"
  printf '"address":"127.0.0.1:%s","mesh":"127.0.0.1:%s"}' \
    $((base + 100 + $1)) $((base + 200 + $1))
}
workers() { # region, prefix, first port
  for i in 0 1 2 3 4 5 6 7; do
    printf ',{"name":"%s%s","role":"worker","region":"%s",' "$2" "$i" "$1"
    printf '"rack":"%s-rack%s","data_center":"%s-1",' "$1" $((i / 4)) "$1"
    printf '"address":"127.0.0.1:%s",' $(($3 + i))
    printf '"accelerators":8,"millicores":128000,"memory_mb":512000,'
    printf '"state":"live"}'
  done
}
printf '{"vms":['
entry 1 bern; printf ','; entry 2 bern; printf ','
entry 3 oost; printf ','; entry 4 oost
workers bern b $((base + 300))
workers oost o $((base + 320))
printf ']}\n'
