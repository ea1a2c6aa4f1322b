#!/bin/sh
# Measures the control cost of one idle entry process: CPU time, resident
# memory and bytes per second, by the number of entry processes and VMs.
# Arguments: build directory, seconds to measure (10), then pairs "nodes vms"
# (vms is the number of instances and also of workers).  Targets of
# docs/design.md for 8 nodes, 50 instances and 50 workers: 1.3% of a core,
# 32 MB, 5 KB/s.
cd "$(dirname "$0")/.." || exit 1
BUILD_DIR=${1:-build}
seconds=${2:-10}
shift "$(($# < 2 ? $# : 2))"
[ $# -gt 0 ] || set -- "2 10" "4 25" "8 50"

measure() {
	nodes=$1
	vms=$2
	ZONES=a,b,c,d
	set -- "$BUILD_DIR"
	. tests/lib.sh
	# The VMs need more ports than the block of 100 in tests/lib.sh has.
	PLATFORM=$((30000 + $$ % 10 * 200))
	LOG=http://127.0.0.1:$PLATFORM
	entries=
	for node in $(seq "$nodes"); do
		entries="$entries --entry $node=$(peers_address "$node"),$(zone_of "$node")"
	done
	# shellcheck disable=SC2086
	start platform "$BUILD/bin/standin-platform" --base-port $PLATFORM \
	    --control "$CONTROL" --zones "$ZONES" --instances "$vms" \
	    --workers "$vms" $entries
	await 5 curl -sf "$LOG/vms"
	make_keys
	write_settings "$nodes"
	for node in $(seq "$nodes"); do
		sed -i '/^list_interval_ms/d' "$WORK/node-$node.ini"
		start_node "$node"
	done
	for node in $(seq "$nodes"); do
		await 10 node_is "$node" .log.healthy
	done
	sign 1
	roll 1 1 >"$WORK/roll-1" || fail "roll 1: $(cat "$WORK/roll-1")"
	await 15 all_active "$(seq -s' ' "$nodes")"
	sleep 8
	ticks=$(cpu_ticks)
	bytes=$(control_bytes)
	sleep "$seconds"
	ticks=$(($(cpu_ticks) - ticks))
	bytes=$(($(control_bytes) - bytes))
	max_rss=0
	for node in $(seq "$nodes"); do
		node_rss=$(awk '$1 == "VmRSS:" { print $2 }' \
		    "/proc/$(pid_of "node-$node")/status")
		[ "$node_rss" -gt "$max_rss" ] && max_rss=$node_rss
	done
	awk -v nodes="$nodes" -v vms="$vms" -v ticks=$ticks -v bytes=$bytes \
	    -v seconds="$seconds" -v rss_kb="$max_rss" 'BEGIN {
		printf "%5d %5d %9.2f %9.2f %9.1f\n", nodes, vms,
		    ticks / (seconds * nodes), bytes / (seconds * nodes) / 1000,
		    rss_kb / 1000
	}'
}

cpu_ticks() {
	for node in $(seq "$nodes"); do
		awk '{ print $14 + $15 }' "/proc/$(pid_of "node-$node")/stat"
	done | awk '{ sum += $1 } END { print sum }'
}

# Bytes sent to peers, plus bytes sent to and received from the log, the VM
# list and the workers.
control_bytes() {
	for node in $(seq "$nodes"); do
		curl -s "http://$(operators_address "$node")/counters"
	done | awk '/^limpethinge_(peer_bytes_out|platform_bytes|upstream_bytes)_total/ {
		sum += $2 } END { print sum }'
}

echo "nodes   vms     cpu %      KB/s    rss MB"
for pair in "$@"; do
	# shellcheck disable=SC2086
	(measure $pair)
done
