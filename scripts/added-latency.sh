#!/bin/sh
# Latency that one entry process adds: the same load straight to the
# instances and through the process, in turn.  Arguments: build directory,
# requests a second (4000).  Service time is a constant 5 ms, so that the
# difference is not hidden by its tail.
cd "$(dirname "$0")/.." || exit 1
rate=${2:-4000}
. tests/lib.sh

start_site 1 --instances 30 --workers 1
direct=$(for i in $(seq 30); do
	printf -- '--target 127.0.0.1:%s ' $((BASE + 9 + i))
done)
for run in ${RUNS:-1 2 3}; do
	# shellcheck disable=SC2086
	"$BUILD/bin/standin-load" --direct $direct --lc quote:1:x --run-ms 5 \
	    --rate "$rate" --seconds 4 --warm-up 1 --seed $((run * 2)) >"$WORK/direct.out"
	run_load entry --run-ms 5 --rate "$rate" --seconds 4 --warm-up 1 \
	    --seed $((run * 2 + 1)) || fail "load failed"
	check_load entry
	jq -n -r --slurpfile d "$WORK/direct.out" \
	    --slurpfile e "$WORK/entry.out" '$d[0] as $d | $e[0] as $e |
	    "direct p50 \($d.p50) p99 \($d.p99) ms, entry p50 \($e.p50) p99 " +
	    "\($e.p99) ms, answered \($e.answered) of \($e.sent), added p99 " +
	    "\($e.p99 - $d.p99) ms; longest gaps \($d.longest_gap_ms) and " +
	    "\($e.longest_gap_ms) ms"'
done
ticks=$(awk '{ print $14 + $15 }' "/proc/$(pid_of node-1)/stat")
echo "CPU of the entry process: $((ticks * 10)) ms for 3 times 4 s"
exit $FAILED
