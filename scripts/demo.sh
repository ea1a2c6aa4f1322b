#!/bin/sh
# Three entry processes and the stand-in of the platform on loopback, under
# load and faults; prints what callers were told and what the platform saw.
# Argument: build directory.  Exit status 1 if an order was lost or ran
# twice, a slot limit was broken or an answer was not the caller's own.
cd "$(dirname "$0")/.." || exit 1
. tests/lib.sh

SEED=${SEED:-11}
ZONES=a,b
SECONDS_OF_LOAD=26

say() { printf '%5ss  %s\n' "$(($(date +%s) - STARTED))" "$*"; }
STARTED=$(date +%s)

start_site 3 --instances 12 --workers 6 --seed "$SEED"
BEFORE=$(owners 3)
say "3 entry processes ready, bundle 1 in force"

start_load load --rate 400 --order-rate 4 \
    --seconds $SECONDS_OF_LOAD --order-wait 15
curl -s -d "run-ms=12000;watcher" -H "Authorization: Bearer magnolia-key" \
    -H "Idempotency-Key: watcher-1" -H "Limpethinge-Class: watcher" \
    "http://$(callers 3)/orders" >"$WORK/watcher"
WATCHER=$(jq -r .order "$WORK/watcher")
say "load runs; standing watcher is order $WATCHER"

sleep 3
kill -KILL "$(pid_of node-1)"
say "node 1 killed"
sleep 5
start_node 1
say "node 1 started again"
sleep 2
kill -STOP "$(pid_of node-2)"
say "node 2 frozen"
sleep 4
kill -CONT "$(pid_of node-2)"
say "node 2 resumed"
sleep 1
sign 2 2000
roll 3 2 >"$WORK/roll-2" || fail "roll 2: $(cat "$WORK/roll-2")"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 2'
done
say "bundle 2 in force on all"
fault log-down 1
say "log is down"
sleep 3
fault log-down 0
say "log is back"
sleep 1
fault vm-leaving i3
say "VM i3 leaves"

wait_load || fail "load: $(cat "$WORK/load.err")"
say "load has ended"
curl -s -H "Authorization: Bearer magnolia-key" \
    "http://$(callers 3)/orders/$WATCHER" >"$WORK/watcher"
AFTER=$(owners 3)
for node in 1 2 3; do
	stop_node $node
done
say "all entry processes ended on SIGTERM"
check_load load
check_audit
check watcher "$WORK/watcher" '.state == "ended" and .outcome == "ran"'
check orders "$WORK/load.out" \
    '.orders_sent == .orders_accepted and .orders_pending == 0'

echo
echo "shards owned before: $BEFORE"
echo "shards owned after:  $AFTER"
jq -n -r --slurpfile load "$WORK/load.out" --slurpfile audit "$WORK/audit" '
    ($load[0]) as $l | ($audit[0]) as $a |
    ["requests sent", $l.sent], ["answered", $l.answered],
    ["ran and failed", $l.ran_failed], ["not run", $l.not_run],
    ["unknown", $l.unknown], ["connection lost", $l.transport_errors],
    ["mismatched", $l.mismatched],
    ["told not-run but ran", $l.ran_though_not_run],
    ["orders sent", $l.orders_sent], ["orders accepted", $l.orders_accepted],
    ["orders ran", $l.orders_ran], ["orders unknown", $l.orders_unknown],
    ["run twice", $a.double_runs + $a.run_again + $a.double_lc],
    ["lost", $l.missing + $l.orders_pending],
    ["slot limits broken", $a.capacity_violations],
    ["log appends/s, peak", $a.log.peak_appends_per_s],
    ["latency p50 ms", $l.p50], ["latency p99 ms", $l.p99],
    ["proof p99 ms", $l.classes.proof.p99],
    ["quote p99 ms", $l.classes.quote.p99],
    ["longest gap ms", $l.longest_gap_ms] |
    "\(.[0] + " " * (24 - (.[0] | length)))\(.[1])"'
exit $FAILED
