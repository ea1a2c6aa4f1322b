#!/bin/sh
# Guards against lost answers when an instance is killed or its open connections
# become silent permanently: callers must get answers from other instances or
# over new connections.  Guards also against an instance that is never used again
# after its connections became silent.
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 6 --workers 1 --seed 31

start_load load --rate 300 --seconds 5
sleep 1
fault vm-silent i1 ms=0
sleep 1.5
fault vm-kill i2
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
# Only the work in the 8 slots each of i1 and i2 may have an unknown outcome.
check answered "$WORK/load.out" '.answered >= .sent - 16 and
    .transport_errors == 0'
check_used i1 40
check_audit
exit $FAILED
