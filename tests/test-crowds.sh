#!/bin/bash
# test-crowds.sh BUILD [CASE...]: guards against clients that do not keep the
# limits and run a process out of memory or descriptors, hang it, or keep others
# from being served.  Cases run one at a time, each against two scheduling
# processes of its own; the crowd is at the first one.
#
# A case is KIND@ADDRESS: what the clients do (standin/soak_crowd.c), and where:
# callers (a path with a queue), nowhere (one without), ready, operators, peers.
# Checked are the life of the process, its memory with the bytes that it has not
# read, its descriptors, one ordinary request after the crowd (while it is there
# for clients that are slow on purpose), and that jobs submitted before and
# during the crowd are run.  Nothing that depends on the speed of the machine.
#
# Larger crowds are played by hand, with CROWD_CLIENTS, CROWD_MEMORY_MB,
# CROWD_DESCRIPTORS, CROWD_CONNECTIONS and CROWD_DWELL_S in the environment.
#
# A case that KNOWN-RED.txt lists as "tests/test-crowds.sh CASE" is printed and
# passed over if it fails.
BUILD=$1
shift
ROOT=$(cd "$(dirname "$0")/.." && pwd)
CASES=${*:-body@callers pieces@callers chunks@callers oversize@callers
	fields@callers ahead@callers head@callers slow@callers half@callers
	body@nowhere chunks@nowhere oversize@nowhere ahead@nowhere
	body@ready chunks@ready ahead@ready head@ready slow@ready
	body@operators ahead@operators slow@operators frame@peers}

# The machine of the process, and what callers may use of it.
MEMORY_MB=${CROWD_MEMORY_MB:-48}
DESCRIPTORS=${CROWD_DESCRIPTORS:-512}
CONNECTIONS=${CROWD_CONNECTIONS:-200}
# Twice the connections, so that the limit of connections is passed as well.
CLIENTS=${CROWD_CLIENTS:-400}
# The crowd is there for this long once all its clients have connected.
DWELL_S=${CROWD_DWELL_S:-3}

WORK=$(mktemp -d)
PIDS=
finish() {
	status=$?
	trap - EXIT INT TERM
	end_case
	rm -rf "$WORK"
	exit $status
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

end_case() {
	local pid
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	PIDS=
}

fail() {
	echo "     $CASE: $*"
	FAILED=1
}

# Loopback addresses of this run: the stand-in's host is 1, that of process N is
# 10 + N.  Ports are below the kernel's ephemeral range.
NET=127.$((1 + $$ / 250 % 120)).$(($$ % 250 + 1))
PORT=30000
address() { echo "$NET.$((10 + $1)):$((PORT + $2))"; }
callers() { address "$1" 50; }

settings() {
	cat <<-END
	[node]
	name = node-$1
	zone = z
	[listen]
	callers = $(address "$1" 50)
	ready = $(address "$1" 51)
	peers = $(address "$1" 52)
	operators = $(address "$1" 53)
	[store]
	address = $NET.1:$PORT
	[limits]
	connections = $CONNECTIONS
	memory_mb = $MEMORY_MB
	descriptors = $DESCRIPTORS
	request_timeout_ms = 2000
	END
}

# status METHOD ADDRESS PATH [BODY]: prints the status of an ordinary request.
status() {
	curl -s -m 3 -o /dev/null -w '%{http_code}' -X "$1" -H 'Host: jobs.example' \
	    ${4:+-d "$4"} "http://$2$3"
}

# await TRIES COMMAND...: repeats the command until it succeeds.
await() {
	local tries=$1
	shift
	until "$@"; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.2
	done
}
answers() { [ "$(status GET "$1" "$2")" = 200 ]; }
JOB='{"spec":"1","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":400}]}'
submits() {
	[ "$(status POST "$(callers "$1")" "/q1/$2" "$JOB")" = 200 ] &&
	    ACCEPTED="$ACCEPTED $2"
}
has_run() {
	curl -s -m 4 -H 'Host: jobs.example' "http://$(callers 2)/q1/$1" |
	    grep -q '"completed"'
}

start_site() {
	local i
	"$BUILD/bin/standin-fleet" --host "$NET.1" --store-port "$PORT" \
	    --worker-port $((PORT + 10)) --workers 6 >"$WORK/fleet.log" 2>&1 &
	PIDS="$PIDS $!"
	for i in 1 2; do
		settings $i >"$WORK/node-$i.ini"
		"$BUILD/limpethinge" schedule --settings "$WORK/node-$i.ini" \
		    >"$WORK/node-$i.log" 2>&1 &
		PIDS="$PIDS $!"
		NODE[$i]=$!
	done
	for i in 1 2; do
		await 100 answers "$(address $i 51)" /-/ready ||
		    fail "process $i does not start: $(tail -n 3 "$WORK/node-$i.log")"
	done
}

# Prints the process's memory with its unread bytes, in bytes, and its
# descriptors.
usage() {
	local host
	host=$(printf '%02X%02X%02X%02X' 11 "${NET##*.}" \
	    "$(echo "$NET" | cut -d. -f2)" 127)
	awk -v host="$host" '
	    FILENAME ~ /status$/ { if ($1 == "VmRSS:") rss = $2 * 1024; next }
	    # The queue of a listener counts connections.
	    substr($2, 1, 8) == host && $4 != "0A" {
		split($5, queues, ":")
		n = 0
		for (i = 1; i <= 8; i++)
			n = n * 16 + index("0123456789ABCDEF",
			    substr(queues[2], i, 1)) - 1
		unread += n
	    }
	    END { print rss + unread }' "/proc/${NODE[1]}/status" /proc/net/tcp
	find "/proc/${NODE[1]}/fd" -mindepth 1 2>/dev/null | wc -l
}

# Writes the peaks of both until the file $WORK/stop appears.
watch_usage() {
	local memory=0 descriptors=0 now
	while [ ! -e "$WORK/stop" ]; do
		mapfile -t now < <(usage 2>/dev/null)
		[ "${now[0]:-0}" -le $memory ] || memory=${now[0]}
		[ "${now[1]:-0}" -le $descriptors ] || descriptors=${now[1]}
		echo "$memory $descriptors" >"$WORK/peaks.new"
		mv "$WORK/peaks.new" "$WORK/peaks"
	done
}

crowd_target() {
	case $1 in
	callers) echo "$(callers 1) /q1/00000000000000aa" ;;
	nowhere) echo "$(callers 1) /none/00000000000000aa" ;;
	ready) echo "$(address 1 51) /-/ready" ;;
	operators) echo "$(address 1 53) /dump" ;;
	peers) echo "$(address 1 52) /" ;;
	esac
}

# The address at which an ordinary request is sent, and its path.
ordinary() {
	case $1 in
	ready) answers "$(address 1 51)" /-/ready ;;
	operators) answers "$(address 1 53)" /status ;;
	*) submits 1 "00000000000000$2" ;;
	esac
}

run_case() {
	CASE=$1
	local kind=${1%@*} place=${1#*@} target path crowd
	FAILED=0
	ACCEPTED=
	rm -f "$WORK"/*
	start_site
	await 20 submits 1 0000000000000001 || fail "no job is accepted before"
	read -r target path < <(crowd_target "$place")
	watch_usage &
	PIDS="$PIDS $!"
	"$BUILD/bin/standin-soak" --crowd "$kind" --node "$target" \
	    --crowd-path "$path" --crowd-count $CLIENTS >"$WORK/crowd" 2>&1 &
	crowd=$!
	PIDS="$PIDS $!"
	sleep $DWELL_S
	await 10 submits 2 0000000000000002 ||
	    fail "the other process accepts no job during the crowd"
	case $kind in
	head | slow | half)
		await 10 ordinary "$place" 03 ||
		    fail "no ordinary request is answered during the crowd" ;;
	esac
	kill -TERM $crowd
	wait $crowd
	await 10 ordinary "$place" 04 ||
	    fail "no ordinary request is answered after the crowd"
	for job in $ACCEPTED; do
		await 50 has_run "$job" || fail "job $job was accepted and has not run"
	done
	touch "$WORK/stop"
	kill -0 "${NODE[1]}" 2>/dev/null || fail "the process has ended"
	read -r memory descriptors <"$WORK/peaks"
	peak=$(awk '$1 == "VmHWM:" { print $2 * 1024 }' "/proc/${NODE[1]}/status")
	[ "${peak:-0}" -le "$memory" ] || memory=$peak
	[ "$memory" -le $((MEMORY_MB << 20)) ] ||
	    fail "$((memory >> 20)) MB of memory and unread bytes, at most $MEMORY_MB"
	[ "$descriptors" -le $DESCRIPTORS ] ||
	    fail "$descriptors descriptors, at most $DESCRIPTORS"
	summary="$((memory >> 20)) MB, $descriptors descriptors; $(tail -n 1 "$WORK/crowd")"
	end_case
}

failures=0
for c in $CASES; do
	run_case "$c"
	known=$(grep -c "tests/test-crowds.sh $c\b" "$ROOT/KNOWN-RED.txt")
	if [ $FAILED = 0 ] && [ "$known" != 0 ]; then
		echo "FAIL $c passes and is listed in KNOWN-RED.txt"
		failures=$((failures + 1))
	elif [ $FAILED = 0 ]; then
		echo "ok   $c: $summary"
	elif [ "$known" != 0 ]; then
		echo "     known red: tests/test-crowds.sh $c: $summary"
	else
		echo "FAIL $c: $summary"
		failures=$((failures + 1))
	fi
done
exit $((failures > 0))
