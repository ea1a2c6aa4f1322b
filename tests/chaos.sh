#!/bin/sh
# Injects random faults, two at a time; not part of make check.  Guards against
# failures that only a combination of faults causes.  Argument: build
# directory.  SEED and ROUNDS are taken from the environment.
. "$(dirname "$0")/lib.sh"

SEED=${SEED:-1}
ROUNDS=${ROUNDS:-6}
ZONES=a,b
LCG_STATE=$SEED
VERSION=1

# random_below LIMIT: sets DRAWN to a pseudo-random number from 0 to LIMIT - 1.
random_below() {
	LCG_STATE=$(((LCG_STATE * 1103515245 + 12345) % 2147483648))
	DRAWN=$((LCG_STATE / 65536 % $1))
}
# inject_fault KIND NODE; clear_fault KIND NODE
inject_fault() {
	echo "$(date +%T) $1 node $2"
	case $1 in
	kill) kill -KILL "$(pid_of "node-$2")" ;;
	stop) kill -TERM "$(pid_of "node-$2")" ;;
	freeze) kill -STOP "$(pid_of "node-$2")" ;;
	log-down) fault log-down 1 ;;
	log-down-for) fault log-down-for "$2" ;;
	log-lose) fault log-lose-replies 5 ;;
	log-slow) fault log-slow-ms 400 ;;
	list) fault list-frozen 1 ;;
	silent) fault vm-silent "i$2" ms=0 ;;
	failing) fault worker-fails-all "w$2" ;;
	roll)
		sign $((VERSION + 1)) $((2000 + VERSION))
		roll "$2" $((VERSION + 1)) >/dev/null 2>&1 &&
		    VERSION=$((VERSION + 1))
		;;
	esac
}
clear_fault() {
	case $1 in
	kill) start_node "$2" ;;
	stop)
		await 10 not_running "$(pid_of "node-$2")"
		start_node "$2"
		;;
	freeze) kill -CONT "$(pid_of "node-$2")" ;;
	log-down) fault log-down 0 ;;
	log-down-for) fault log-up-for "$2" ;;
	log-slow) fault log-slow-ms 0 ;;
	list) fault list-frozen 0 ;;
	failing) fault worker-fails-all "w$2" on=0 ;;
	esac
}
FAULT_KINDS="kill stop freeze log-down log-down-for log-lose log-slow list
    silent failing roll"
# fault_kind INDEX: prints the kind at the index, from 0.
fault_kind() { echo "$FAULT_KINDS" | tr -s ' \n' '\n\n' | sed -n "$(($1 + 1))p"; }

start_site 3 --instances 8 --workers 6 --seed "$SEED"
start_load load --rate 200 --order-rate 4 --seconds $((ROUNDS * 4)) \
    --order-wait 40 --cancel 0.05
for round in $(seq "$ROUNDS"); do
	random_below 11
	first_fault=$(fault_kind $DRAWN)
	random_below 11
	second_fault=$(fault_kind $DRAWN)
	random_below 3
	first_node=$((DRAWN + 1))
	second_node=$((first_node % 3 + 1))
	inject_fault "$first_fault" $first_node
	random_below 10
	sleep 0.$DRAWN
	inject_fault "$second_fault" $second_node
	random_below 3
	sleep $((DRAWN + 1))
	clear_fault "$first_fault" $first_node
	clear_fault "$second_fault" $second_node
	sleep 1
done
for node in 1 2 3; do
	await 15 node_is $node '.log.healthy and .ready'
done
await 20 all_active "1 2 3"
wait_load || fail "load failed: $(cat "$WORK/load.err")"
check_load load
check orders "$WORK/load.out" '.orders_accepted == .orders_sent and
    .orders_pending == 0'
check_audit
jq -c 'del(.classes)' "$WORK/load.out"
exit $FAILED
