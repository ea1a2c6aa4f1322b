#!/bin/sh
# Measures the latency that one entry process adds: alternates the same load
# directly on the instances and through the process.  Arguments: build
# directory, requests per second (4000).  The service time is a constant 5 ms,
# since the tail of a random one would hide the difference.
cd "$(dirname "$0")/.." || exit 1
requests_per_s=${2:-4000}
. tests/lib.sh

start_site 1 --instances 30 --workers 1
direct_targets=$(for i in $(seq 30); do
	printf -- '--target 127.0.0.1:%s ' $((BASE + 9 + i))
done)
for run in ${RUNS:-1 2 3}; do
	# shellcheck disable=SC2086
	"$BUILD/bin/standin-load" --direct $direct_targets --lc quote:1:x \
	    --run-ms 5 --rate "$requests_per_s" --seconds 4 --warm-up 1 \
	    --seed $((run * 2)) >"$WORK/direct.out"
	run_load entry --run-ms 5 --rate "$requests_per_s" --seconds 4 \
	    --warm-up 1 --seed $((run * 2 + 1)) || fail "load failed"
	check_load entry
	jq -n -r --slurpfile direct "$WORK/direct.out" \
	    --slurpfile entry "$WORK/entry.out" '$direct[0] as $direct |
	    $entry[0] as $entry |
	    "direct p50 \($direct.p50) p99 \($direct.p99) ms, " +
	    "entry p50 \($entry.p50) p99 \($entry.p99) ms, answered \($entry.answered) of \($entry.sent), " +
	    "added p99 \($entry.p99 - $direct.p99) ms; longest gaps " +
	    "\($direct.longest_gap_ms) and \($entry.longest_gap_ms) ms"'
done
ticks=$(awk '{ print $14 + $15 }' "/proc/$(pid_of node-1)/stat")
echo "CPU time of the entry process: $((ticks * 10)) ms for 3 times 4 s"
exit $FAILED
