# Functions shared by the whole-process tests, scripts/demo.sh and the
# measurements in scripts/; to be sourced with $1 = build directory.  Everything
# runs on 127.0.0.1 in one block of 100 ports below the kernel's ephemeral
# range.  Each started process is ended by its process id.

BUILD=$1
LIMPETHINGE=$BUILD/limpethinge
WORK=$(mktemp -d)
PIDS=
FAILED=0
ZONES=${ZONES:-a}
ORDER_MIX="--order plate:2:magnolia-key --order blend:1:ruedas-key \
    --order sort:1:magnolia-key"

cleanup() {
	status=$?
	trap - EXIT INT TERM
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait
	if [ -n "$KEEP" ] || { [ $status -ne 0 ] && [ -n "$KEEP_FAILED" ]; }; then
		echo "files kept in $WORK"
	else
		rm -rf "$WORK"
	fi
	exit $status
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Prints the first port of a free block of 100 between 20000 and 28999.
free_port_block() {
	first_block=$(($$ % 90))
	for i in $(seq 90); do
		base=$((20000 + (first_block + i) % 90 * 100))
		awk -v low=$base 'FNR > 1 {
			split($2, local, ":")
			port = 0
			for (i = 1; i <= 4; i++)
				port = port * 16 + index("0123456789ABCDEF",
				    substr(local[2], i, 1)) - 1
			if (port >= low && port < low + 100)
				exit 1
		}' /proc/net/tcp && { echo $base; return; }
	done
	echo "no free block of 100 ports" >&2
	return 1
}

BASE=$(free_port_block) || exit 1
CONTROL=127.0.0.1:$((BASE + 60))
LOG=http://127.0.0.1:$BASE

# Addresses of node N.  Its ports follow BASE + 61 + 3 * (N - 1): callers,
# operators, peers.
callers_address() { echo 127.0.0.1:$((BASE + 58 + 3 * $1)); }
operators_address() { echo 127.0.0.1:$((BASE + 59 + 3 * $1)); }
peers_address() { echo 127.0.0.1:$((BASE + 60 + 3 * $1)); }

fail() {
	echo "FAIL: $*"
	FAILED=1
}

# check NAME FILE FILTER: fails unless the jq filter is true for the JSON file.
check() {
	if [ "$(jq "$3" "$2" 2>&1)" != true ]; then
		fail "$1: $3"
		jq -c 'del(.vms, .orders)' "$2" 2>/dev/null || cat "$2"
	fi
}

# start NAME COMMAND...: runs the command in the background; writes its process
# id to $WORK/NAME.pid and its output to NAME.out and NAME.err.
start() {
	name=$1
	shift
	"$@" >"$WORK/$name.out" 2>>"$WORK/$name.err" &
	echo $! >"$WORK/$name.pid"
	PIDS="$PIDS $!"
}
pid_of() { cat "$WORK/$1.pid"; }

# await SECONDS COMMAND...: repeats the command every 50 ms until it succeeds;
# fails at the timeout.
await() {
	tries_left=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		tries_left=$((tries_left - 1))
		[ $tries_left -gt 0 ] || { fail "timed out waiting for: $*"; return 1; }
		sleep 0.05
	done
}

# Instances listen at BASE + 10 and up, workers after them: at most 50 VMs.
start_platform() {
	start platform "$BUILD/bin/standin-platform" --base-port "$BASE" \
	    --control "$CONTROL" --zones "$ZONES" "$@"
	await 5 curl -sf "$LOG/vms"
}

# fault NAME VALUE [QUERY]: sets a fault in the platform stand-in.
fault() {
	curl -sf -X POST "http://$CONTROL/control?fault=$1&value=$2${3:+&$3}" \
	    >/dev/null || fail "the stand-in refused fault $1=$2"
}
audit() { curl -s "http://$CONTROL/audit" >"$WORK/audit"; }

# write_settings NODES: writes the settings of nodes 1 to NODES, which are
# assigned to the zones in turn.
write_settings() {
	NODES=$1
	for node in $(seq "$1"); do
		{
			echo "[node]"
			echo "id = $node"
			echo "zone = $(zone_of "$node")"
			echo "[site]"
			echo "zones = $(echo "$ZONES" | tr , ' ')"
			echo "shards_per_zone = ${SHARDS:-4}"
			echo "[listen]"
			echo "callers = $(callers_address "$node")"
			echo "operators = $(operators_address "$node")"
			echo "peers = $(peers_address "$node")"
			echo "[platform]"
			echo "log = $LOG"
			echo "list = $LOG"
			echo "list_interval_ms = 500"
			echo "list_lag_ms = 5000"
			for peer in $(seq "$1"); do
				[ "$peer" = "$node" ] && continue
				echo "[peer $peer]"
				echo "address = $(peers_address "$peer")"
				echo "zone = $(zone_of "$peer")"
			done
			cat "$WORK/rosa.section"
		} >"$WORK/node-$node.ini"
	done
}
zone_of() {
	count=$(echo "$ZONES" | tr , '\n' | wc -l)
	echo "$ZONES" | cut -d, -f$((($1 - 1) % count + 1))
}

key_hash() { printf %s "$1" | b2sum -l 256 | cut -d' ' -f1; }

# write_bundle VERSION [DEADLINE_MS]: prints a bundle with the classes of both
# members.
write_bundle() {
	cat <<-END
	[bundle]
	version = $1
	parent = $(($1 - 1))
	author = ana
	site = magnolia
	$(lc_class proof 0 "${2:-2500}")
	$(lc_class quote 5 "${2:-2500}")
	$(batch_class plate no no 2000 4000)
	$(batch_class blend no no 4000 8000)
	$(batch_class sort yes yes 2000 4000)
	$(batch_class watcher yes yes 500 500)
	[team prepress]
	millicores = 400000
	[member magnolia]
	key_hash = $(key_hash magnolia-key)
	classes = proof plate sort watcher
	team = prepress
	[member ruedas]
	key_hash = $(key_hash ruedas-key)
	classes = quote blend
	team = prepress
	[vmkind instance]
	slots = 8
	connections = 64
	END
}
lc_class() {
	printf '[class %s]\nlatency_critical = yes\nidempotent = yes\n' "$1"
	printf 'priority = %s\ndeadline_ms = %s\nrun_limit_ms = 600\n' "$2" "$3"
}
batch_class() {
	printf '[class %s]\nlatency_critical = no\nidempotent = %s\n' "$1" "$2"
	printf 'resumable = %s\nmillicores = %s\nmemory_mb = %s\n' "$3" "$4" "$5"
}

# Prints the settings of a scheduling process on its own.
schedule_settings() {
	cat <<-END
	[node]
	name = node-1
	zone = z
	[listen]
	callers = 127.0.0.1:$((BASE + 61))
	ready = 127.0.0.1:$((BASE + 62))
	peers = 127.0.0.1:$((BASE + 63))
	operators = 127.0.0.1:$((BASE + 64))
	[store]
	address = 127.0.0.1:$BASE
	END
}

# Generates the keys of the signer; write_settings needs the public one.
make_keys() {
	"$LIMPETHINGE" bundle keygen rosa "$WORK/rosa.key" \
	    >"$WORK/rosa.section" || exit 1
}
# sign VERSION [DEADLINE_MS]: writes bundle-VERSION.ini and its signature.
sign() {
	write_bundle "$@" >"$WORK/bundle-$1.ini"
	"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
	    "$WORK/bundle-$1.ini" >"$WORK/bundle-$1.sig" || fail "sign $1"
}
# roll NODE VERSION: puts bundle-VERSION in force through the node.
roll() {
	"$LIMPETHINGE" roll --url "http://$(operators_address "$1")" \
	    --signature "$WORK/bundle-$2.sig" "$WORK/bundle-$2.ini"
}

start_node() {
	start "node-$1" "$LIMPETHINGE" serve --settings "$WORK/node-$1.ini"
}
# node_is NODE FILTER: whether the jq filter is true for the status of the node.
# jq -e alone succeeds on empty input, that is, if the node does not answer.
node_is() {
	status=$(curl -sf -m 1 "http://$(operators_address "$1")/status") &&
	    [ "$(echo "$status" | jq "$2")" = true ]
}
# all_active NODES: whether each shard is active on exactly one of the nodes.
all_active() {
	for node in $1; do
		curl -sf -m 1 "http://$(operators_address "$node")/status"
	done | jq -es '[.[].shards[] | select(.active) | .shard] | sort ==
	    [range('$((${SHARDS:-4} * $(echo "$ZONES" | tr , '\n' | wc -l)))')]'
}
# owner_of SHARD: prints the owner according to the first node that answers.
owner_of() {
	for node in $(seq "$NODES"); do
		curl -sf -m 1 "http://$(operators_address "$node")/status" |
		    jq ".shards[$1].owner" && return
	done
}
# shard_owners NODE: prints the owner of each shard according to the node.
shard_owners() {
	curl -s -m 1 "http://$(operators_address "$1")/status" |
	    jq -c '[.shards[] | "\(.shard):\(.owner)"] | join(" ")'
}

# start_site NODES PLATFORM-ARGUMENTS...: starts the platform and the nodes, and
# waits until all nodes are ready with bundle 1 and all shards are active; ends
# the script if that fails.
start_site() {
	count=$1
	shift
	for node in $(seq "$count"); do
		set -- "$@" --entry "$node=$(peers_address "$node"),$(zone_of "$node")"
	done
	start_platform "$@"
	make_keys
	write_settings "$count"
	for node in $(seq "$count"); do
		start_node "$node"
	done
	for node in $(seq "$count"); do
		await 10 node_is "$node" .log.healthy
	done
	sign 1
	roll 1 1 >"$WORK/roll-1" || fail "roll 1: $(cat "$WORK/roll-1")"
	for node in $(seq "$count"); do
		await 10 node_is "$node" '.ready and .bundle == 1'
	done
	await 15 all_active "$(seq -s' ' "$count")"
	[ $FAILED = 0 ] || exit 1
}

# start_load NAME ARGUMENTS...: starts load on all nodes, with its report in
# $WORK/NAME.out.  wait_load waits for the load started last and returns its
# exit status.
load_targets() {
	for node in $(seq "$NODES"); do
		printf -- '--target %s ' "$(callers_address "$node")"
	done
}
start_load() {
	name=$1
	shift
	# shellcheck disable=SC2046,SC2086
	start "$name" "$BUILD/bin/standin-load" $(load_targets) \
	    --audit "$CONTROL" \
	    --lc proof:1:magnolia-key --lc quote:2:ruedas-key \
	    --seed "${SEED:-1}" $ORDER_MIX "$@"
	LOAD_PID=$!
}
wait_load() { wait "$LOAD_PID"; }
run_load() { start_load "$@" && wait_load; }

# check_load NAME: each request has an outcome, no caller got the answer of
# another, and no request reported as not run has run.
check_load() {
	check "$1" "$WORK/$1.out" '.sent == .answered + .ran_failed + .not_run +
	    .unknown + .transport_errors + .mismatched and .mismatched == 0 and
	    .ran_though_not_run == 0 and .missing == 0'
}
# check_audit: invariants 1, 2, 6 and 7 hold in the record of the platform.
check_audit() {
	audit
	check audit "$WORK/audit" '.capacity_violations == 0 and
	    .connection_violations == 0 and .double_lc == 0 and
	    .double_runs == 0 and .run_again == 0 and .late_work == 0'
}
# check_used INSTANCE SLOTS: fails unless the instance runs work although no load
# but that of this check is left.  SLOTS is the number of slots of all instances
# in use.  Under light load an instance may get nothing for seconds without a
# fault: one that is regarded as slow is used last (docs/policy.md), and the run
# times of the stand-in are spread so widely that this happens by chance.  Hence
# bursts that fill the slots of all others.  Three at most: an instance may be
# ejected at the first one because a slow machine made its answers late.
check_used() {
	audit
	ran_before=$(jq ".vms.$1.ran" "$WORK/audit")
	for burst in 101 102 103; do
		SEED=$burst run_load "burst-$burst" --rate $(($2 * 400)) \
		    --seconds 0.01 --run-ms 300 ||
		    fail "burst failed: $(cat "$WORK/burst-$burst.err")"
		check_load "burst-$burst"
		audit
		[ "$(jq ".vms.$1.ran" "$WORK/audit")" -gt "$ran_before" ] && return
	done
	fail "$1 has run nothing since its request $ran_before"
}
# post NODE MEMBER PATH BODY [CURL-ARGUMENTS...]: sends a request; writes the
# body of the answer to $WORK/answer and its headers to $WORK/headers; prints
# the HTTP status.
post() {
	node=$1
	member=$2
	path=$3
	body=$4
	shift 4
	curl -s -m 10 -o "$WORK/answer" -D "$WORK/headers" -w '%{http_code}' \
	    -H "Authorization: Bearer $member-key" -d "$body" "$@" \
	    "http://$(callers_address "$node")$path"
}
# expect DESCRIPTION EXPECTED ACTUAL
expect() { [ "$2" = "$3" ] || fail "$1: expected $2, got $3"; }
# Prints the milliseconds of a monotonic clock.
now_ms() { awk '{ print int($1 * 1000) }' /proc/uptime; }
# stop_node NODE: sends SIGTERM; the node must exit with status 0 within 10 s.
stop_node() {
	pid=$(pid_of "node-$1")
	kill -TERM "$pid"
	await 10 not_running "$pid" || return
	wait "$pid" || fail "node $1 exited with status $?"
}
not_running() { ! kill -0 "$1"; }
