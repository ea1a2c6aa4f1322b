#!/bin/sh
# Guards against a planned stop that aborts requests, loses orders or leaves
# shards without an owner for longer than a handover takes.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 17

start_load load --rate 400 --order-rate 4 --seconds 6
sleep 2
stop_node 1
await 3 all_active "2 3"
start_node 1
await 5 node_is 1 .ready
fault entry-leaving 2
await 10 not_running "$(pid_of node-2)"
wait "$(pid_of node-2)" || fail "node 2 exited with status $?"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check stop "$WORK/load.out" '.transport_errors == 0 and .unknown == 0 and
    .orders_accepted == .orders_sent and .orders_pending == 0 and
    .orders_unknown == 0'
check_audit
exit $FAILED
