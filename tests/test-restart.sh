#!/bin/sh
# Guards against a restarted process that, before it has read the whole log and
# VM list, accepts a withdrawn key or sends work to a VM that has left (i1, w1).
. "$(dirname "$0")/lib.sh"

ZONES=a,b
start_site 2 --instances 4 --workers 4 --seed 23 --list-lag-ms 500
expect "key before its withdrawal" 200 "$(post 2 ruedas /run/quote x)"

sign 2
sed '/^\[member ruedas\]/,/^team/d' "$WORK/bundle-2.ini" >"$WORK/bundle-without-ruedas"
mv "$WORK/bundle-without-ruedas" "$WORK/bundle-2.ini"
"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
    "$WORK/bundle-2.ini" >"$WORK/bundle-2.sig" || fail "sign 2"
roll 1 2 >"$WORK/roll-2" || fail "roll 2: $(cat "$WORK/roll-2")"
for node in 1 2; do
	await 10 node_is $node '.ready and .bundle == 2'
done
fault vm-leaving i1
fault vm-leaving w1
sleep 4
audit
cp "$WORK/audit" "$WORK/before"

for node in 2 1; do
	kill -KILL "$(pid_of node-$node)"
	start_node $node
	tries=0
	until [ "$(post $node magnolia /run/proof x --max-time 1)" = 200 ]; do
		code=$(post $node ruedas /run/quote x --max-time 1)
		case $code in
		000 | 401 | 503) ;;
		*) fail "withdrawn key at node $node: HTTP status $code" ;;
		esac
		tries=$((tries + 1))
		[ $tries -lt 400 ] || { fail "node $node does not serve after its restart"; break; }
	done
	expect "withdrawn key at node $node" 401 \
	    "$(post $node ruedas /run/quote x)"
done
run_load after --rate 100 --order-rate 5 --seconds 2
audit
for vm in i1 w1; do
	check "$vm" "$WORK/audit" ".vms.$vm.ran ==
	    $(jq ".vms.$vm.ran" "$WORK/before")"
done
check remaining "$WORK/audit" ".vms.i3.ran > $(jq .vms.i3.ran "$WORK/before")"
exit $FAILED
