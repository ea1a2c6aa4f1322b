#!/bin/sh
# Guards against a frozen owner that goes on where it stopped after another
# process took its shards over: double runs, broken slot limits.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 9

# Most of the 64 slots are held when an owner is frozen.
start_load load --rate 130 --run-ms 450 --order-rate 4 --seconds 11 --order-wait 25
# 1.6 s: others suspect the owner, but its lease has not lapsed when it
# resumes; cut off from the log, it does not read at once who succeeds it.
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
