#!/bin/sh
# Guards against wrong answers, answers of another caller, orders that are lost,
# run twice or visible to another member, and keys that are not accepted or
# not checked.
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 3 --instances 8 --workers 6 --time-scale 0.4 --seed 3

run_load load --rate 500 --order-rate 6 --cancel 0.1 --seconds 4 ||
    fail "load failed"
check_load load
check fault-free "$WORK/load.out" '.answered == .sent and
    .orders_accepted == .orders_sent and .orders_pending == 0 and
    .orders_unknown == 0 and .orders_failed == 0'
check_audit

# Authorization by key and class.
expect "no key" 401 "$(post 1 nobody /run/proof x)"
expect "class of another member" 403 "$(post 1 magnolia /run/quote x)"
expect "no such path" 404 "$(post 1 magnolia /ran/proof x)"
expect "batch class as LC" 403 "$(post 1 magnolia /run/plate x)"

# An idempotency key identifies one order of one member on all nodes.
set -- -H "Idempotency-Key: same" -H "Limpethinge-Class: plate"
expect "first use of a key" 201 "$(post 1 magnolia /orders run-ms=50 "$@")"
first=$(jq -r .order "$WORK/answer")
sleep 0.3
expect "second use of a key" 200 "$(post 2 magnolia /orders run-ms=50 "$@")"
expect "order of the key" "$first" "$(jq -r .order "$WORK/answer")"
expect "key with another body" 422 "$(post 3 magnolia /orders other "$@")"
set -- -H "Idempotency-Key: same" -H "Limpethinge-Class: blend"
expect "key of another member" 201 "$(post 1 ruedas /orders run-ms=50 "$@")"
[ "$first" != "$(jq -r .order "$WORK/answer")" ] ||
    fail "two members share an order"
expect "order of another member" 404 \
    "$(post 2 ruedas "/orders/$first" '' -X GET)"
expect "list of another member" 200 "$(post 2 ruedas /orders '' -X GET)"
check "list" "$WORK/answer" "all(.order != \"$first\")"
expect "cancel by another member" 404 \
    "$(post 2 ruedas "/orders/$first" '' -X DELETE)"
expect "wait for the end" 200 \
    "$(post 3 magnolia "/orders/$first/wait" '' -X GET)"
check "end" "$WORK/answer" \
    '.state == "ended" and .outcome == "ran" and .result == "run-ms=50"'
check_audit
exit $FAILED
