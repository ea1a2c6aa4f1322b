#!/bin/sh
# Runs three entry processes and the platform stand-in on loopback, under load
# and injected faults; prints the results reported to callers and those
# recorded by the platform.  Argument: build directory.  Exits with 1 if an
# order was lost or ran twice, a slot limit was exceeded or a caller received
# the answer of another.
cd "$(dirname "$0")/.." || exit 1
. tests/lib.sh

SEED=${SEED:-11}
ZONES=a,b
LOAD_SECONDS=26

log_step() { printf '%5ss  %s\n' "$(($(date +%s) - START_S))" "$*"; }
START_S=$(date +%s)

start_site 3 --instances 12 --workers 6 --seed "$SEED"
OWNERS_BEFORE=$(shard_owners 3)
log_step "3 entry processes ready, bundle 1 in force"

start_load load --rate 400 --order-rate 4 \
    --seconds $LOAD_SECONDS --order-wait 15
curl -s -d "run-ms=12000;watcher" -H "Authorization: Bearer magnolia-key" \
    -H "Idempotency-Key: watcher-1" -H "Limpethinge-Class: watcher" \
    "http://$(callers_address 3)/orders" >"$WORK/watcher"
WATCHER=$(jq -r .order "$WORK/watcher")
log_step "load runs; standing watcher is order $WATCHER"

sleep 3
kill -KILL "$(pid_of node-1)"
log_step "node 1 killed"
sleep 5
start_node 1
log_step "node 1 started again"
sleep 2
kill -STOP "$(pid_of node-2)"
log_step "node 2 frozen"
sleep 4
kill -CONT "$(pid_of node-2)"
log_step "node 2 resumed"
sleep 1
sign 2 2000
roll 3 2 >"$WORK/roll-2" || fail "roll 2: $(cat "$WORK/roll-2")"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 2'
done
log_step "bundle 2 in force on all nodes"
fault log-down 1
log_step "log is down"
sleep 3
fault log-down 0
log_step "log is back"
sleep 1
fault vm-leaving i3
log_step "VM i3 leaves"

wait_load || fail "load: $(cat "$WORK/load.err")"
log_step "load has ended"
curl -s -H "Authorization: Bearer magnolia-key" \
    "http://$(callers_address 3)/orders/$WATCHER" >"$WORK/watcher"
OWNERS_AFTER=$(shard_owners 3)
for node in 1 2 3; do
	stop_node $node
done
log_step "all entry processes ended on SIGTERM"
check_load load
check_audit
check watcher "$WORK/watcher" '.state == "ended" and .outcome == "ran"'
check orders "$WORK/load.out" \
    '.orders_sent == .orders_accepted and .orders_pending == 0'

echo
echo "shards owned before: $OWNERS_BEFORE"
echo "shards owned after:  $OWNERS_AFTER"
jq -n -r --slurpfile load "$WORK/load.out" --slurpfile audit "$WORK/audit" '
    ($load[0]) as $report | ($audit[0]) as $platform |
    ["requests sent", $report.sent], ["answered", $report.answered],
    ["ran and failed", $report.ran_failed], ["not run", $report.not_run],
    ["unknown", $report.unknown], ["connection lost", $report.transport_errors],
    ["mismatched", $report.mismatched],
    ["told not-run but ran", $report.ran_though_not_run],
    ["orders sent", $report.orders_sent],
    ["orders accepted", $report.orders_accepted],
    ["orders ran", $report.orders_ran],
    ["orders unknown", $report.orders_unknown],
    ["run twice",
     $platform.double_runs + $platform.run_again + $platform.double_lc],
    ["lost", $report.missing + $report.orders_pending],
    ["slot limits exceeded", $platform.capacity_violations],
    ["log appends/s, peak", $platform.log.peak_appends_per_s],
    ["latency p50 ms", $report.p50], ["latency p99 ms", $report.p99],
    ["proof p99 ms", $report.classes.proof.p99],
    ["quote p99 ms", $report.classes.quote.p99],
    ["longest gap ms", $report.longest_gap_ms] |
    "\(.[0] + " " * (24 - (.[0] | length)))\(.[1])"'
exit $FAILED
