#!/bin/sh
# Guards against a frozen owner that resumes its work after another process has
# taken over its shards: double runs, exceeded slot limits.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 9

# Most of the 64 slots are in use when an owner is frozen.
start_load load --rate 130 --run-ms 450 --order-rate 4 --seconds 11 --order-wait 25
# 1.6 s: the other nodes suspect the owner, but its lease has not lapsed when it
# resumes.  The log is down for it, so that it does not learn immediately which
# node succeeds it.
for seconds in 0.5 1.6 1.6 4; do
	owner=$(owner_of 0)
	kill -STOP "$(pid_of "node-$owner")"
	[ $seconds = 1.6 ] && fault log-down-for "$owner"
	sleep $seconds
	kill -CONT "$(pid_of "node-$owner")"
	sleep 1
	fault log-up-for "$owner"
done
await 10 all_active "1 2 3"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check orders "$WORK/load.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0'
check_audit
exit $FAILED
