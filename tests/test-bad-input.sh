#!/bin/sh
# Guards against malformed or oversize input and slow clients, on any port, that
# end the process, exhaust its connections or disturb other callers.
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 4 --workers 2 --seed 29

start_load load --rate 200 --order-rate 1 --seconds 5
# Slow clients on every port: an incomplete request, then no more data.
for i in $(seq 40); do
	for port in "$(callers_address 1)" "$(operators_address 1)" "$(peers_address 1)"; do
		{
			printf 'POST /run/proof HTTP/1.1\r\nHost: x\r\n'
			sleep 5
		} | curl -s -m 5 "telnet://$port" >/dev/null 2>&1 &
		PIDS="$PIDS $!"
	done
done
# send_raw ADDRESS: sends standard input unchanged.
send_raw() { curl -s -m 0.5 "telnet://$1" >/dev/null 2>&1; }
for port in "$(callers_address 1)" "$(operators_address 1)" "$(peers_address 1)"; do
	head -c 100000 /dev/urandom | send_raw "$port"
	printf '\377\377\377\377aaaa' | send_raw "$port"
	printf '\000\000\000\000' | send_raw "$port"
	printf '\000\000\000\004\223\007\001\002' | send_raw "$port"
	printf '\000\000\000\005\335\377\377\377\377' | send_raw "$port"
	printf 'GET / HTTP/9.9\r\n\r\n' | send_raw "$port"
	printf 'POST /run/proof HTTP/1.1\r\nContent-Length: -5\r\n\r\nx' |
	    send_raw "$port"
done
head -c 400000 /dev/zero | tr '\0' x >"$WORK/large"
expect "oversize body" 413 "$(post 1 magnolia /run/proof "@$WORK/large")"
http_status=$(post 1 magnolia /run/proof x -H "X-Large: $(head -c 100000 "$WORK/large")")
case $http_status in
4??|000) ;;
*) fail "oversize header: $http_status" ;;
esac
expect "long class" 403 "$(post 1 magnolia "/run/$(head -c 2000 \
    "$WORK/large")" x)"
expect "order without a key" 400 "$(post 1 magnolia /orders x \
    -H 'Limpethinge-Class: plate')"
expect "malformed order" 404 "$(post 1 magnolia /orders/zz '' -X GET)"
http_status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -d '{"version":[1]}' \
    "http://$(operators_address 1)/roll")
expect "malformed roll" 400 "$http_status"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check disturbed "$WORK/load.out" \
    '.answered == .sent and .orders_accepted == .orders_sent'
for node in 1 2; do
	not_running "$(pid_of node-$node)" 2>/dev/null &&
	    fail "node $node has exited"
	await 2 node_is $node .ready
done
check_audit
exit $FAILED
