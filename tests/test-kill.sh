#!/bin/sh
# Guards against work that is lost, run twice or wrongly reported as not-run
# when an entry process is killed under load, and against shards that stay
# without an owner.  KILLS sets the number of kills.
. "$(dirname "$0")/lib.sh"

KILLS=${KILLS:-3}
ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 5

# Most of the 64 slots are in use when an owner is killed, so that a successor
# that does not wait for them exceeds the slot limits.
start_load load --rate 130 --run-ms 450 --order-rate 4 \
    --seconds $((KILLS * 3 + 1)) --order-wait 25
max_takeover_ms=0
for round in $(seq "$KILLS"); do
	sleep 1
	killed_node=$((round % 3 + 1))
	survivors=$(seq -s' ' 3 | tr -d $killed_node)
	start_ms=$(now_ms)
	kill -KILL "$(pid_of node-$killed_node)"
	await 5 all_active "$survivors"
	takeover_ms=$(($(now_ms) - start_ms))
	[ $takeover_ms -gt $max_takeover_ms ] && max_takeover_ms=$takeover_ms
	start_node $killed_node
	await 5 node_is $killed_node .ready
done
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check orders "$WORK/load.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0 and .orders_unknown == 0'
check_audit
echo "$KILLS kills: shards owned again after at most $max_takeover_ms ms," \
    "longest gap $(jq .longest_gap_ms "$WORK/load.out") ms"
exit $FAILED
