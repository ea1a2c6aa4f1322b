# Functions of the cases, to be sourced by review/N/run.sh.  Starts the stand-in
# of the platform and scheduling processes on loopback addresses of this run,
# and ends them by their process ids.  What is sent, answered and run goes to
# record.txt in the folder of the case, each line with the time in seconds.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
PLATFORM_PID=
PROXY_PID=
declare -a NODE_PIDS
NODES=4
NET=127.$((100 + $$ / 250 % 120)).$(($$ % 250 + 1))
STORE_HOST=$NET.1
STORE_PORT=21000

cleanup() {
	status=$?
	trap - EXIT INT TERM
	for pid in "${NODE_PIDS[@]}" $PLATFORM_PID $PROXY_PID; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	for i in $(seq $NODES); do
		sed "s/^/node-$i: /" "$WORK/node-$i.log" 2>/dev/null
	done | grep -E "${NODE_LOG:-step=(start|job|task|run|worker|shard|group|store)}" >>"$RECORD"
	rm -rf "$WORK"
	exit $status
}
trap cleanup EXIT
trap 'exit 2' INT TERM

now() { printf '%s' "${EPOCHREALTIME/,/.}" | cut -c1-14; }
note() { echo "$(now) $*" >>"$RECORD"; }
give_up() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# http HOST PORT METHOD PATH [BODY]: sends a request as a consumer does and
# prints "STATUS BODY"; nothing without an answer within PATIENCE seconds (4).
http() {
	timeout "${PATIENCE:-4}" bash -c '
	    exec 3<>"/dev/tcp/$1/$2" || exit 1
	    printf "%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Type: application/json\r\nRequest-Deadline: 3000\r\nContent-Length: %d\r\n\r\n%s" \
	        "$3" "$4" "${#5}" "$5" >&3
	    cat <&3' http "$@" 2>/dev/null | tr -d '\r' | awk '
	    NR == 1 { status = $2 }
	    body { text = text $0 }
	    /^$/ { body = 1 }
	    END { if (status) print status, text }'
}

stage() { http "$STORE_HOST" "$STORE_PORT" POST "/stage/$1" >/dev/null; }
node_host() { echo "$NET.$((10 + $1))"; }

# consumer NODE METHOD PATH [BODY]: a request of a consumer to a process; sets
# ANSWER.
consumer() {
	note "consumer to node-$1: $2 $3 $4"
	ANSWER=$(http "$(node_host "$1")" 21001 "$2" "$3" "$4")
	note "consumer from node-$1: $2 $3: ${ANSWER:-no answer}"
}

# The settings are those of deploy/settings.ini.in, filled in for a site with
# the bounds of magnolia-coop.
write_settings() {
	cat >"$WORK/node-$1.ini" <<END
[node]
name = frontend-z-$1
zone = z

[listen]
callers = $(node_host "$1"):21001
ready = $(node_host "$1"):21002
peers = $(node_host "$1"):21003
operators = $(node_host "$1"):21004

[store]
address = $STORE_HOST:$STORE_PORT
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
END
}

# start_site [OPTION...]: the platform with the options of review-platform, and
# the processes by the command of deploy/system.toml; waits until all are ready.
start_site() {
	: >"$RECORD"
	[ -x "$ROOT/target/limpethinge" ] || give_up "target/limpethinge is missing"
	[ -x "$ROOT/target/review-platform" ] || give_up "target/review-platform is missing: run review/build.sh"
	cd "$ROOT" || exit 2
	target/review-platform --host "$STORE_HOST" --port "$STORE_PORT" "$@" \
	    >>"$RECORD" 2>"$WORK/platform.err" &
	PLATFORM_PID=$!
	if [ -n "$PROXY_DELAY" ]; then
		target/review-proxy "$STORE_HOST" $((STORE_PORT + 300)) \
		    "$STORE_HOST" $((STORE_PORT + 100)) "$PROXY_DELAY" \
		    2>"$WORK/proxy.err" &
		PROXY_PID=$!
	fi
	for i in $(seq $NODES); do
		write_settings "$i"
		LIMPETHINGE_CONFIG=$WORK/node-$i.ini target/limpethinge schedule \
		    >"$WORK/node-$i.log" 2>&1 &
		NODE_PIDS[$i]=$!
	done
	for i in $(seq $NODES); do
		for _ in $(seq 100); do
			[[ $(http "$(node_host "$i")" 21002 GET /-/ready) = 200* ]] && break
			sleep 0.1
		done
		[[ $(http "$(node_host "$i")" 21002 GET /-/ready) = 200* ]] \
		    || give_up "node-$i is not ready"
	done
	# The number of shards is decided, an owner is found.
	for _ in $(seq 100); do
		[[ $(http "$(node_host 1)" 21001 GET /plate/) = 200* ]] && return
		sleep 0.1
	done
	give_up "no shard has an owner"
}
