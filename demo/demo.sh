#!/usr/bin/env bash
# Demonstrates the product with stand-ins on loopback: applies a ticket, makes
# calls, and runs a gang job whose result is read at another entry VM.
# usage: demo.sh BUILD_DIR
set -eu
build=$(cd "$1" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
base=${JASMINETRACK_DEMO_PORT:-21000}
work=$(mktemp -d)
entries=()   # process ids of the entry VMs
standins=()  # process ids of the stand-in platform and workers
stop_all() {
  for pid in "${entries[@]}" "${standins[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

run() { # prints the command, then its output
  echo "\$ jasminetrack $*"
  "$build/packages/cli/jasminetrack" --entry "$entry" "$@"
}
entry_address() { echo "127.0.0.1:$((base + 100 + $1))"; }

bash "$here/make_vms.sh" "$base" > "$work/vms.json"
"$build/tests/standin_platform" --listen "127.0.0.1:$base" \
  --vms "$work/vms.json" & standins+=($!)
"$build/tests/standin_worker" --prefix b --count 8 \
  --first-port $((base + 300)) & standins+=($!)
"$build/tests/standin_worker" --prefix o --count 8 \
  --first-port $((base + 320)) & standins+=($!)

for i in 1 2 3 4; do
  region=$([ "$i" -le 2 ] && echo bern || echo oost)
  cat > "$work/entry-$i.yaml" <<YAML
node: entry-$i
region: $region
data_center: $region-1
listen: $(entry_address "$i")
mesh: 127.0.0.1:$((base + 200 + i))
platform: 127.0.0.1:$base
YAML
  "$build/packages/daemon/jasminetrackd" --settings "$work/entry-$i.yaml" \
    2> "$work/entry-$i.log" & entries+=($!)
done

entry=$(entry_address 1)
"$build/tests/await_ready" --workers 16 \
  --entry "$(entry_address 1)" --entry "$(entry_address 2)" \
  --entry "$(entry_address 3)" --entry "$(entry_address 4)"

run ticket check "$here/ticket-1.yaml"
run ticket apply "$here/ticket-1.yaml"
run status
entry=$(entry_address 2)
run call counter-receipts --team cork-ledger --key receipt-1 \
  --file "$here/receipt.json"
entry=$(entry_address 3)
head -c 20000 /dev/urandom > "$work/photograph.jpg"
run call damage-photographs --team canvas-patch --key photo-1 \
  --file "$work/photograph.jpg"
run call patch-orders --team canvas-patch --key order-1 \
  --file "$here/receipt.json"
entry=$(entry_address 1)
run submit --team cork-ledger --class sort-batch --key lot-7 \
  --payload "run_ms=800;result=member sorted"
job=$("$build/packages/cli/jasminetrack" --entry "$entry" submit \
  --team cork-ledger --class sort-batch --key lot-7)
run explain "$job"
entry=$(entry_address 4)
run result "$job" --wait 20000
entry="$(entry_address 1),$(entry_address 2),$(entry_address 3)"
run timeline | tail -n 12
echo "demo: done"
