#!/bin/sh
# Guards against a VM list that is not followed any more because it has rows
# that name no VM: a VM that is leaving then gets new work, and work goes to
# VMs that do not exist.
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 4 --workers 3 --time-scale 0.5 --seed 41 \
    --list-lag-ms 500

start_load load --rate 300 --order-rate 5 --seconds 6
sleep 1
fault list-odd 1
sleep 0.6
fault vm-leaving i1
fault vm-leaving w1
sleep 4
audit
cp "$WORK/audit" "$WORK/before"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check answers "$WORK/load.out" '.answered == .sent and .orders_pending == 0'
check_audit
for vm in i1 w1; do
	check "$vm" "$WORK/audit" ".vms.$vm.ran ==
	    $(jq ".vms.$vm.ran" "$WORK/before") and .vms.$vm.late == 0"
done
for node in 1 2; do
	if grep -q 'odd[0-9 ]' "$WORK/node-$node.err"; then
		fail "node $node uses a row that names no VM"
	fi
done
exit $FAILED
