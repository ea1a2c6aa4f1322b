# Functions of the scripts of the cases 6 to 10, to be sourced from the root of
# the project.  Starts NODES processes with the command of deploy/system.toml
# and settings like those that deploy/settings.ini.in gives a small deployment,
# and the stand-in of the platform (standin-2/minions.c), all on loopback
# addresses.  Ends only processes that it started.
#
# CASE is the folder of the case; what was sent, answered and run goes to
# $CASE/record.txt.  A script ends by `verdict`.

TROUBLE=${TROUBLE:-1}
NODES=${NODES:-4}
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=
BROKEN=0
# Host 1 is the platform's, host 10 + N that of process N.  Ports are below the
# kernel's ephemeral range.
NET=127.$((130 + $$ / 250 % 110)).$(($$ % 250 + 1))
BASE=$((20000 + $$ % 80 * 100))
STORE=$NET.1:$BASE
CONTROL=$NET.1:$((BASE + 1))

finish() {
	status=$?
	trap - EXIT INT TERM
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	[ -z "$KEEP" ] || cp -r "$WORK" "$KEEP"
	rm -rf "$WORK"
	exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$RECORD"; }
cannot() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

callers() { echo "$NET.$((10 + $1)):$((BASE + 50))"; }
operators() { echo "$NET.$((10 + $1)):$((BASE + 53))"; }

settings() {
	cat <<-END
	[node]
	name = node-$1
	zone = z$(($1 % 2))
	[listen]
	callers = $(callers "$1")
	ready = $NET.$((10 + $1)):$((BASE + 51))
	peers = $NET.$((10 + $1)):$((BASE + 52))
	operators = $(operators "$1")
	[store]
	address = $STORE
	partitions = 12
	member_min_ms = 1000
	append_bytes = 2097152
	[workers]
	lease_ms = 6000
	stop_ms = 200
	[scheduler]
	[limits]
	cpu_share = 0.1
	connections = 2000
	memory_mb = 260
	descriptors = 4100
	END
}

# start_platform MINIONS [PREFIX]: "KIND:COUNT,..." as standin-2/minions.c has
# them, with a prefix of their ids.
start_platform() {
	[ -x target/limpethinge ] || cannot "target/limpethinge is not built"
	[ -x target/review-2/minions ] || cannot "review/build-2.sh was not run"
	target/review-2/minions "$NET.1" "$BASE" $((BASE + 10)) $((BASE + 1)) \
	    "$@" >"$WORK/minions" 2>"$WORK/minions.err" &
	PIDS="$PIDS $!"
}

start_node() {
	settings "$1" >"$WORK/node-$1.ini"
	LIMPETHINGE_CONFIG=$WORK/node-$1.ini target/limpethinge schedule \
	    >>"$WORK/node-$1.log" 2>&1 &
	eval "NODE_$1=$!"
	PIDS="$PIDS $!"
}

# Starts all processes, and waits until jobs are served.
start_nodes() {
	: >"$RECORD"
	note "TROUBLE=$TROUBLE"
	for node in $(seq "$NODES"); do
		start_node "$node"
	done
	for _ in $(seq 100); do
		code=$(call 1 one.example POST /q1/00000000000f0001 \
		    '{"spec":"ms=50","steps":[{"count":1,"cpu":100,"mem_mb":10}]}')
		[ "$code" = 200 ] && break
		sleep 0.2
	done
	[ "$code" = 200 ] || cannot "no job is taken"
	await_state 1 one.example /q1/00000000000f0001 completed 20 ||
	    cannot "no job is run"
}

# call NODE HOST METHOD PATH [BODY]: prints the status of the answer, whose body
# goes to $WORK/body; 000 for none.
call() {
	code=$(curl -s -m 5 -o "$WORK/body" -w '%{http_code}' -X "$3" \
	    -H "Host: $2" -H 'Content-Type: application/json' \
	    -H 'Request-Deadline: 3000' ${5:+-d "$5"} \
	    "http://$(callers "$1")$4")
	note "node $1: $3 $2$4 ${5:+$5 }-> $code $(cat "$WORK/body" 2>/dev/null)"
	: >>"$WORK/body"
	echo "$code"
}

# state NODE HOST PATH: prints the state of a job, or the status of the answer.
state() {
	code=$(call "$1" "$2" GET "$3")
	if [ "$code" = 200 ]; then
		jq -r .state "$WORK/body"
	else
		echo "$code"
	fi
}

# await_state NODE HOST PATH STATE SECONDS
await_state() {
	for _ in $(seq $(($5 * 4))); do
		[ "$(state "$1" "$2" "$3")" = "$4" ] && return 0
		sleep 0.25
	done
	return 1
}

control() {
	note "control: $1"
	curl -s -m 5 -o /dev/null -X POST "http://$CONTROL$1" ||
	    cannot "the stand-in does not answer"
}

# broken TEXT: a rule was broken.
broken() {
	note "BROKEN: $*"
	echo "BROKEN: $*"
	BROKEN=1
}

verdict() {
	{
		echo "--- minions"
		cat "$WORK/minions"
		echo "--- what the processes say of the jobs"
		grep -hE 'job\.(end|cancel)|task\.|run\.(start|over)|worker\.(silent|reborn|lost)' \
		    "$WORK"/node-*.log
	} >>"$RECORD"
	[ $BROKEN = 1 ] || echo "held"
	exit $BROKEN
}
