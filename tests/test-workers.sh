#!/bin/sh
# Guards against lost or repeated orders when workers are killed or fail every
# attempt: orders that may run again do so on another worker; others run at
# most once and are never lost (invariants 2, 3 and 6).
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 1 --workers 6 --time-scale 0.5 --seed 37

fault worker-fails-all w1
fault worker-fails-all w2
ORDER_MIX="--order sort:1:magnolia-key"
start_load sort --rate 0 --order-rate 5 --seconds 3 --order-wait 25
SORT_PID=$LOAD_PID
ORDER_MIX="--order plate:1:magnolia-key"
start_load plate --seed 2 --rate 0 --order-rate 5 --seconds 4 \
    --order-wait 25
sleep 2
fault vm-kill w3
audit
cp "$WORK/audit" "$WORK/before"
wait_load || fail "plate load failed: $(cat "$WORK/plate.err")"
LOAD_PID=$SORT_PID
wait_load || fail "sort load failed: $(cat "$WORK/sort.err")"
check_load plate
check_load sort
check sorts "$WORK/sort.out" '.orders_ran == .orders_sent'
check plates "$WORK/plate.out" ".orders_ran + .orders_failed +
    .orders_unknown == .orders_sent and
    .orders_unknown <= $(jq .vms.w3.ran "$WORK/before")"
check_audit
exit $FAILED
