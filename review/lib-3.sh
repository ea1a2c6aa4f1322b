# Sourced by the scripts of review/11 to review/15: starts the scheduling
# processes and the stand-ins on loopback addresses, and ends them.

ROOT=$(cd "$(dirname "$0")/../.." && pwd)
HERE=$(cd "$(dirname "$0")" && pwd)
PROGRAM=$ROOT/target/limpethinge
SITE=$ROOT/target/review-3/site
NET=127.$((128 + $$ / 250 % 120)).$(($$ % 250 + 1))
PORT=$((20000 + $$ % 9000))
WORK=$(mktemp -d)
NODES=3
NODE_PIDS=
SITE_PID=

finish() {
	status=$?
	trap - EXIT INT TERM
	for pid in $NODE_PIDS $SITE_PID; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -z "$KEEP" ] || cp "$WORK"/node-*.log "$KEEP"
	rm -rf "$WORK"
	exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM

# Settings as deploy/settings.ini.in makes them on a VM of magnolia-coop.
node_settings() {
	cat <<END
[node]
name = node-$1
zone = z
[listen]
callers = $NET.$((10 + $1)):$((PORT + 50))
ready = $NET.$((10 + $1)):$((PORT + 51))
peers = $NET.$((10 + $1)):$((PORT + 52))
operators = $NET.$((10 + $1)):$((PORT + 53))
[store]
address = $NET.1:$PORT
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

start_site() {
	"$SITE" net="$NET" port="$PORT" nodes="$NODES" record="$RECORD" "$@" \
	    >"$WORK/report" 2>"$WORK/site.err" &
	SITE_PID=$!
	sleep 0.3
}

start_nodes() {
	for n in $(seq 0 $((NODES - 1))); do
		node_settings "$n" >"$WORK/node-$n.ini"
		(cd "$ROOT" && exec target/limpethinge schedule --settings \
		    "$WORK/node-$n.ini") >"$WORK/node-$n.log" 2>&1 &
		NODE_PIDS="$NODE_PIDS $!"
	done
}

[ -x "$PROGRAM" ] && [ -x "$SITE" ] || {
	echo "target/limpethinge and review/build-3.sh are to be built first"
	exit 2
}
