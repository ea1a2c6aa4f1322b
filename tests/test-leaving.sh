#!/bin/sh
# Guards against new work sent to a VM more than 3 s after the VM list (i1, w1)
# or the VM itself (i2, while the list is frozen) announced that it is leaving.
. "$(dirname "$0")/lib.sh"

start_site 2 --instances 4 --workers 3 --time-scale 0.5 --seed 19 --list-lag-ms 500

start_load load --rate 300 --order-rate 5 --seconds 6
sleep 1
fault vm-leaving i1
fault vm-leaving w1
sleep 0.6
fault list-frozen 1
fault vm-leaving i2 refuse=1
sleep 3.5
audit
cp "$WORK/audit" "$WORK/before"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check orders "$WORK/load.out" '.answered == .sent and .orders_pending == 0'
check_used i3 16
check_audit
for vm in i1 i2 w1; do
	check "$vm" "$WORK/audit" ".vms.$vm.ran ==
	    $(jq ".vms.$vm.ran" "$WORK/before") and .vms.$vm.refused ==
	    $(jq ".vms.$vm.refused" "$WORK/before")"
done
exit $FAILED
