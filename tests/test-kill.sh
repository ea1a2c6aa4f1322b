#!/bin/sh
# Guards against work that is lost, doubled or wrongly called not-run when an
# entry process is killed under load, and against shards that stay without an
# owner.  KILLS sets the number of kills.
. "$(dirname "$0")/lib.sh"

KILLS=${KILLS:-3}
ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 5

# Most of the 64 slots are held when an owner dies, so that a successor that
# does not wait for them exceeds the limits.
start_load load --rate 130 --run-ms 450 --order-rate 4 \
    --seconds $((KILLS * 3 + 1)) --order-wait 25
worst=0
for kill in $(seq "$KILLS"); do
	sleep 1
	victim=$((kill % 3 + 1))
	others=$(seq -s' ' 3 | tr -d $victim)
	since=$(now_ms)
	kill -KILL "$(pid_of node-$victim)"
	await 5 all_active "$others"
	took=$(($(now_ms) - since))
	[ $took -gt $worst ] && worst=$took
	start_node $victim
	await 5 node_is $victim .ready
done
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check orders "$WORK/load.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0 and .orders_unknown == 0'
check_audit
echo "$KILLS kills: shards owned again after at most $worst ms," \
    "longest gap $(jq .longest_gap_ms "$WORK/load.out") ms"
exit $FAILED
