#!/bin/sh
# Guards against LC service that stops with the log, orders that are held
# instead of refused, attempts that are lost while the log is down, entries
# doubled by lost replies, and a burst of appends when the log is back.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 13

start_load orders --rate 0 --order-rate 6 --seconds 9 --order-wait 25
ORDERS=$LOAD_PID
fault log-lose-replies 10
sleep 2
start_load lc --rate 400 --seconds 6
sleep 1
fault log-down 1
sleep 0.5
since=$(now_ms)
expect "order while the log is down" 503 "$(post 1 magnolia /orders x \
    -H 'Idempotency-Key: down' -H 'Limpethinge-Class: plate')"
[ $(($(now_ms) - since)) -lt 500 ] || fail "refused only after a wait"
grep -qi '^retry-after: [1-9]' "$WORK/headers" || fail "no Retry-After"
wait_load || fail "load during the outage failed"
fault log-down 0
await 10 node_is 1 .log.healthy
check_load lc
check outage "$WORK/lc.out" '.answered >= .sent * 0.99'
LOAD_PID=$ORDERS
wait_load || fail "orders failed: $(cat "$WORK/orders.err")"
check_load orders
check orders "$WORK/orders.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0 and .orders_unknown == 0'
check_audit
check appends "$WORK/audit" '.log.lost_replies == 10 and
    .log.peak_appends_per_s <= 300'
exit $FAILED
