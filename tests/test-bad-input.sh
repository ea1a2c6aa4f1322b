#!/bin/sh
# Guards against garbage, oversize input and slow clients on any port that
# end the process, hold its places or disturb other callers.
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 4 --workers 2 --seed 29

start_load load --rate 200 --order-rate 1 --seconds 5
# Slow clients: a request line and then silence, on every port.
for i in $(seq 40); do
	for port in "$(callers 1)" "$(operators 1)" "$(peers 1)"; do
		{
			printf 'POST /run/proof HTTP/1.1\r\nHost: x\r\n'
			sleep 5
		} | curl -s -m 5 "telnet://$port" >/dev/null 2>&1 &
		PIDS="$PIDS $!"
	done
done
# raw ADDRESS: sends standard input as it is.
raw() { curl -s -m 0.5 "telnet://$1" >/dev/null 2>&1; }
for port in "$(callers 1)" "$(operators 1)" "$(peers 1)"; do
	head -c 100000 /dev/urandom | raw "$port"
	printf '\377\377\377\377aaaa' | raw "$port"
	printf '\000\000\000\000' | raw "$port"
	printf '\000\000\000\004\223\007\001\002' | raw "$port"
	printf '\000\000\000\005\335\377\377\377\377' | raw "$port"
	printf 'GET / HTTP/9.9\r\n\r\n' | raw "$port"
	printf 'POST /run/proof HTTP/1.1\r\nContent-Length: -5\r\n\r\nx' |
	    raw "$port"
done
head -c 400000 /dev/zero | tr '\0' x >"$WORK/large"
expect "oversize body" 413 "$(post 1 magnolia /run/proof "@$WORK/large")"
got=$(post 1 magnolia /run/proof x -H "X-Large: $(head -c 100000 "$WORK/large")")
case $got in
4??|000) ;;
*) fail "oversize header: $got" ;;
esac
expect "long class" 403 "$(post 1 magnolia "/run/$(head -c 2000 \
    "$WORK/large")" x)"
expect "order without a key" 400 "$(post 1 magnolia /orders x \
    -H 'Limpethinge-Class: plate')"
expect "malformed order" 404 "$(post 1 magnolia /orders/zz '' -X GET)"
got=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d '{"version":[1]}' \
    "http://$(operators 1)/roll")
expect "malformed roll" 400 "$got"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check disturbed "$WORK/load.out" \
    '.answered == .sent and .orders_accepted == .orders_sent'
for node in 1 2; do
	not_running "$(pid_of node-$node)" 2>/dev/null &&
	    fail "node $node has ended"
	await 2 node_is $node .ready
done
check_audit
exit $FAILED
