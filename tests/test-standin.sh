#!/bin/sh
# Guards against a load generator or audit that does not detect faults: each kind
# of fault, injected without entry processes, must show in the counters that
# the other tests check.
. "$(dirname "$0")/lib.sh"

NODES=0
start_platform --instances 2 --workers 1 --seed 7 --list-lag-ms 0
WORKER_URL=http://127.0.0.1:$((BASE + 12))

direct() {
	name=$1
	shift
	"$BUILD/bin/standin-load" --direct --audit "$CONTROL" \
	    --target 127.0.0.1:$((BASE + 10)) \
	    --target 127.0.0.1:$((BASE + 11)) --lc quote:1:k --seed 7 \
	    --seconds 1 "$@" >"$WORK/$name"
}
attempt() {
	curl -s -o "$WORK/attempt" -w '%{http_code}' -d "$2" "$WORKER_URL/attempts/$1"
}

direct plain --rate 300 || fail "plain load failed"
check plain "$WORK/plain" '.sent == .answered and .sent >= 295'
direct over --rate 300 --lc proof:9:k --body-bytes 300 --time 2>/dev/null &&
    fail "an unknown option was accepted"

# 20 simultaneous requests exceed the 8 slots of an instance; 3 do not.  They
# take long enough to meet however late each is sent.
requests=
for i in $(seq 20); do
	curl -s -d "run-ms=2000;$i" "http://127.0.0.1:$((BASE + 10))/work" \
	    >/dev/null &
	requests="$requests $!"
done
PIDS="$PIDS $requests"
wait $requests
audit
check slots "$WORK/audit" '.capacity_violations > 0'

# The same request body running twice at the same time.
requests=
for i in 10 11; do
	curl -s -d "run-ms=2000;same" "http://127.0.0.1:$((BASE + i))/work" \
	    >/dev/null &
	requests="$requests $!"
done
PIDS="$PIDS $requests"
wait $requests
audit
check double "$WORK/audit" '.double_lc == 1'

# Attempts: repeated start, second run, stale epoch, lapsed lease.
START='"class":"plate","body":"run-ms=300;x","shard":1,"lease_ms":2000'
[ "$(attempt 00000000000000aa-1 "{$START,\"epoch\":2}")" = 200 ] ||
    fail "start refused"
[ "$(attempt 00000000000000aa-1 "{$START,\"epoch\":2}")" = 200 ] ||
    fail "repeated start refused"
audit
check repeat "$WORK/audit" '.double_runs == 0 and .run_again == 0'
[ "$(attempt 00000000000000aa-2 "{$START,\"epoch\":2}")" = 200 ]
audit
check doubled "$WORK/audit" '.double_runs == 1 and .run_again == 1'
[ "$(attempt 00000000000000ab-1 "{$START,\"epoch\":1}")" = 409 ] ||
    fail "stale epoch accepted"
START='"class":"sort","body":"run-ms=900;x","shard":1,"lease_ms":100'
attempt 00000000000000ac-1 "{$START,\"epoch\":2}" >/dev/null
sleep 0.3
curl -s "$WORKER_URL/attempts" >"$WORK/attempts"
check lease "$WORK/attempts" \
    'any(.id == "00000000000000ac-1" and .state == "stopped")'

# Log: an append with a lost reply takes effect, one during an outage does not.
fault log-lose-replies 1
curl -s -d one "$LOG/log/append" && fail "reply was not lost"
fault log-down 1
curl -s -d two "$LOG/log/append" && fail "log answered while down"
fault log-down 0
curl -s -d three "$LOG/log/append" >/dev/null || fail "log stayed down"
audit
check log "$WORK/audit" '.log.records == 2 and .log.lost_replies == 1'

# Connections open when a VM becomes silent stay silent; new ones work.
direct silent --rate 200 --timeout-ms 400 &
sleep 0.5
fault vm-silent i2 ms=0
wait $!
check silent "$WORK/silent" \
    '.transport_errors > 0 and .transport_errors < .answered'

# Leaving VM: work after the 3 s bound is counted as late.  Killed VM:
# connection errors.
fault vm-leaving i1
sleep 3.1
direct after --rate 50 || fail "load after faults failed"
audit
check late "$WORK/audit" '.late_work > 0'
check after "$WORK/after" '.sent == .answered'
fault vm-kill i1
fault vm-kill i2
direct dead --rate 50 --timeout-ms 300
check dead "$WORK/dead" '.sent == .not_run'
exit $FAILED
