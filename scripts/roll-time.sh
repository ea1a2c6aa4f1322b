#!/bin/sh
# Measures the time from `limpethinge roll` until the bundle is in force on 8
# processes, and until it is in force on one that can reach its peers but not
# the log.  Argument: build directory.  Targets of docs/design.md: 2 s and 5 s.
cd "$(dirname "$0")/.." || exit 1
. tests/lib.sh

in_force() {
	for node in $1; do
		node_is "$node" ".bundle == $2" || return 1
	done
}

ZONES=a,b,c,d
start_site 8 --instances 8 --workers 4
for version in 2 3 4 5 6; do
	sign $version
	start_ms=$(now_ms)
	roll 1 $version >"$WORK/roll" || fail "roll: $(cat "$WORK/roll")"
	await 10 in_force "$(seq -s' ' 8)" $version
	echo "version $version in force on 8 processes after" \
	    "$(($(now_ms) - start_ms)) ms"
done
fault log-down-for 8
await 5 node_is 8 '.log.healthy == false'
for version in 7 8 9; do
	sign $version
	start_ms=$(now_ms)
	roll 1 $version >"$WORK/roll" || fail "roll: $(cat "$WORK/roll")"
	await 10 in_force 8 $version
	echo "version $version on the process without the log after" \
	    "$(($(now_ms) - start_ms)) ms"
done
exit $FAILED
