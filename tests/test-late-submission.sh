#!/bin/sh
# Guards against a job that runs although its cancellation was acknowledged,
# since its submission arrives later: the process that has it was frozen or
# killed, the owner was replaced in between, the store was unavailable, or the
# caller submits the job again.  The order of events is given: each step waits
# for a sign of the one before, none for a time.
#
# "Never runs" is judged by the stand-in's record of starts, after the submission
# was accepted, callers see the job as canceled, and another job that was
# submitted after it has run.
. "$(dirname "$0")/lib.sh"

NODES=4
NET=127.$((128 + $$ / 250 % 120)).$(($$ % 250 + 1))
STORE=$NET.1:$BASE
BODY='{"spec":"1","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":400}]}'
# Far longer than any step takes.
PATIENCE=60
next_id=$((0x5c0e000000000000))
killed=
CASE=start

# step COMMAND...: waits until the command succeeds.
step() { await $PATIENCE "$@" || { echo "case: $CASE"; exit 1; }; }

callers() { echo "$NET.$((10 + $1)):$((BASE + 50))"; }
operators() { echo "$NET.$((10 + $1)):$((BASE + 53))"; }

settings() {
	cat <<-END
	[node]
	name = node-$1
	zone = z
	[listen]
	callers = $(callers "$1")
	ready = $NET.$((10 + $1)):$((BASE + 51))
	peers = $NET.$((10 + $1)):$((BASE + 52))
	operators = $(operators "$1")
	[store]
	address = $STORE
	END
}

run_node() {
	start "node-$1" "$LIMPETHINGE" schedule --settings "$WORK/node-$1.ini"
}

kill_node() {
	kill -KILL "$(pid_of "node-$1")"
	wait "$(pid_of "node-$1")" 2>/dev/null
	killed="$killed $1"
}

# Starts the processes that were killed, after each case.
revive() {
	for node in $killed; do
		run_node "$node"
		step curl -sf -m 5 "http://$(operators "$node")/status"
	done
	killed=
	step owner
}

# call NODE METHOD ID [CURL-ARGUMENTS...]: prints the HTTP status; the body goes
# to $WORK/body.
call() {
	node=$1
	method=$2
	id=$3
	shift 3
	curl -s -m 20 -o "$WORK/body" -w '%{http_code}' -X "$method" \
	    -H 'Host: jobs.example' -H 'Request-Deadline: 3000' "$@" \
	    "http://$(callers "$node")/q1/$id"
}
submit() { [ "$(call "$1" POST "$2" -d "$BODY")" = 200 ]; }
# Cancels a job that is unknown, and one that is known.
cancel() { [ "$(call "$1" DELETE "$2")" = 410 ]; }
cancel_known() { [ "$(call "$1" DELETE "$2")" = 200 ]; }
has_state() {
	[ "$(call "$1" GET "$2")" = 200 ] &&
	    [ "$(jq -r .state "$WORK/body")" = "$3" ]
}
starts() { curl -s -m 20 "http://$STORE/starts?job=$1" | jq .starts; }
outage() {
	curl -sf -m 20 -X POST "http://$STORE/outage?$1" >/dev/null ||
	    fail "the stand-in refused outage $1"
}

# The process whose shard is active, which must be one.
owner() {
	found=
	for node in $(seq $NODES); do
		active=$(curl -sf -m 1 "http://$(operators "$node")/status" |
		    jq '[.shards[] | select(.active)] | length')
		[ "${active:-0}" = 0 ] || found="$found $node"
	done
	# shellcheck disable=SC2086
	set -- $found
	[ $# = 1 ] && echo "$1"
}
owner_is_not() {
	new_owner=$(owner) && [ "$new_owner" != "$1" ]
}

# begin NAME: sets OWNER, FRONT and OTHER to three processes and ID to a new job.
begin() {
	CASE=$1
	step owner
	OWNER=$(owner)
	FRONT=$((OWNER % NODES + 1))
	OTHER=$((FRONT % NODES + 1))
	ID=$(new_id)
	next_id=$((next_id + 1))
}
new_id() { printf %016x $next_id; }

freeze() { kill -STOP "$(pid_of "node-$1")"; }
thaw() { kill -CONT "$(pid_of "node-$1")"; }

# Submits the job at a process without waiting for the answer.  The request has
# arrived at the process's machine when this returns.
submit_late() {
	rm -f "$WORK/late" "$WORK/late.log"
	curl -s -m 300 -o /dev/null -w '%{http_code}' -d "$BODY" \
	    --trace-ascii "$WORK/late.log" \
	    -H 'Host: jobs.example' -H 'Request-Deadline: 3000' \
	    "http://$(callers "$1")/q1/$ID" >"$WORK/late" &
	late_pid=$!
	PIDS="$PIDS $late_pid"
	step grep -q '^=> Send data' "$WORK/late.log"
}
# Waits for the answer; sets ANSWER to its HTTP status.
late_answer() {
	wait $late_pid
	ANSWER=$(cat "$WORK/late")
}

# The caller submits the job again until it is accepted.  It is shown as
# canceled, and has not run when a later job has.
check_never_runs() {
	step submit "$1" "$ID"
	step has_state "$1" "$ID" canceled
	control=$(new_id)
	next_id=$((next_id + 1))
	step submit "$1" "$control"
	step has_state "$1" "$control" completed
	[ "$(starts "$control")" -gt 0 ] || fail "$CASE: no record of a start"
	expect "$CASE: starts of the canceled job" 0 "$(starts "$ID")"
	step has_state "$1" "$ID" canceled
	[ $FAILED = 0 ] && echo "ok   $CASE"
}

start fleet "$BUILD/bin/standin-fleet" --host "$NET.1" --store-port "$BASE" \
    --worker-port $((BASE + 10)) --workers 6 --seed 1
step curl -sf "http://$STORE/audit"
for node in $(seq $NODES); do
	settings "$node" >"$WORK/node-$node.ini"
	run_node "$node"
done

begin "late submission that was not canceled"
step submit "$OTHER" "$ID"
step has_state "$OTHER" "$ID" completed
begin "late submission that was not canceled"
freeze "$FRONT"
submit_late "$FRONT"
thaw "$FRONT"
late_answer
step submit "$FRONT" "$ID"
step has_state "$OTHER" "$ID" completed
[ "$(starts "$ID")" -gt 0 ] || fail "$CASE: has not run"

begin "front frozen, canceled at the owner"
freeze "$FRONT"
submit_late "$FRONT"
step cancel "$OWNER" "$ID"
thaw "$FRONT"
late_answer
check_never_runs "$OTHER"

begin "front frozen, canceled at another front"
freeze "$FRONT"
submit_late "$FRONT"
step cancel "$OTHER" "$ID"
thaw "$FRONT"
late_answer
check_never_runs "$FRONT"

# The same identifier is one job: it is accepted, and shown as canceled.
begin "submitted again after the cancellation"
step cancel "$OTHER" "$ID"
for node in $FRONT $OTHER $OWNER; do
	step submit "$node" "$ID"
	step has_state "$node" "$ID" canceled
done
step cancel_known "$OTHER" "$ID"
check_never_runs "$OTHER"

begin "owner killed before the cancellation"
freeze "$FRONT"
submit_late "$FRONT"
kill_node "$OWNER"
step cancel "$OTHER" "$ID"
thaw "$FRONT"
late_answer
check_never_runs "$OTHER"
revive

begin "owner killed after the cancellation"
freeze "$FRONT"
submit_late "$FRONT"
step cancel "$OTHER" "$ID"
kill_node "$OWNER"
step owner_is_not "$OWNER"
thaw "$FRONT"
late_answer
check_never_runs "$OTHER"
revive

# The front sends the submission to the frozen owner, and cannot store it itself.
# The owner reads it once another process has answered the cancellation.
begin "front killed after it has read the submission"
outage hold=1
freeze "$OWNER"
submit_late "$FRONT"
step grep -q "step=owner.silent.*job=$ID" "$WORK/node-$FRONT.out"
kill_node "$FRONT"
late_answer
outage hold=0
step owner_is_not "$OWNER"
step cancel "$OTHER" "$ID"
thaw "$OWNER"
check_never_runs "$OTHER"
revive

# A late submission is accepted only when that is stored.
for silent in 0 1; do
	begin "outage of the store, silent=$silent"
	freeze "$FRONT"
	submit_late "$FRONT"
	step cancel "$OTHER" "$ID"
	outage "hold=1&silent=$silent"
	thaw "$FRONT"
	late_answer
	# 000: the connection was closed, which says nothing.
	case $ANSWER in
	000 | 503 | 504) ;;
	*) fail "$CASE: answered with $ANSWER" ;;
	esac
	outage hold=0
	check_never_runs "$OTHER"
done

audit_broken=$(curl -s -m 20 "http://$STORE/audit" | jq .broken)
expect "violations" 0 "$audit_broken"
exit $FAILED
