#!/bin/sh
# Guards against the following during a log outage: latency-critical requests
# fail, orders are delayed instead of refused, attempts are lost; lost replies
# duplicate log entries; and appends come in a burst once the log is back.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 13

start_load orders --rate 0 --order-rate 6 --seconds 9 --order-wait 25
ORDERS_PID=$LOAD_PID
fault log-lose-replies 10
sleep 2
start_load lc --rate 400 --seconds 6
sleep 1
fault log-down 1
sleep 0.5
start_ms=$(now_ms)
expect "order while the log is down" 503 "$(post 1 magnolia /orders x \
    -H 'Idempotency-Key: down' -H 'Limpethinge-Class: plate')"
[ $(($(now_ms) - start_ms)) -lt 500 ] || fail "the order was not refused within 500 ms"
grep -qi '^retry-after: [1-9]' "$WORK/headers" || fail "no Retry-After"
wait_load || fail "load during the outage failed"
fault log-down 0
await 10 node_is 1 .log.healthy
check_load lc
check outage "$WORK/lc.out" '.answered >= .sent * 0.99'
LOAD_PID=$ORDERS_PID
wait_load || fail "orders failed: $(cat "$WORK/orders.err")"
check_load orders
check orders "$WORK/orders.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0 and .orders_unknown == 0'
check_audit
check appends "$WORK/audit" '.log.lost_replies == 10 and
    .log.peak_appends_per_s <= 300'
exit $FAILED
