#!/bin/sh
# Checks the spin model of the claims protocol in directory $1: the protocol
# must hold, and each variant without one rule must have two owners.
build=$1
source=$(pwd)/model/claims.pml
status=0
check() {
	want=$1
	shift
	dir=$build/$(echo "$*" | tr -d ' -')
	mkdir -p "$dir"
	out=$(cd "$dir" && spin "$@" -a "$source" &&
		cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -w -o pan pan.c &&
		./pan -m1000000 -w24 2>&1)
	states=$(printf '%s\n' "$out" | awk '/states, stored/ { print $1 }')
	case $out in
	*"max search depth too small"*) found=truncated ;;
	*"(busy[k]==0)"*) found=two-owners ;;
	*"errors: 0"*) found=holds ;;
	*) found=error ;;
	esac
	if [ "$found" = "$want" ]; then
		echo "ok   $found, $states states: $*"
	else
		echo "FAIL $found instead of $want: $*"
		printf '%s\n' "$out" | tail -20
		status=1
	fi
}
check holds -DN=2
check holds -DN=3 -DEPOCHS=3
check holds -DN=3 -DEPOCHS=3 -DONE_WITNESS
check two-owners -DN=2 -DBROKEN_WAIT
check two-owners -DN=2 -DBROKEN_DRAIN
check two-owners -DN=3 -DEPOCHS=3 -DONE_WITNESS -DBROKEN_ACK
check two-owners -DN=3 -DEPOCHS=3 -DONE_WITNESS -DBROKEN_REFUSAL
# Two takeovers in a row; four minutes and 1.7 GB more.
if [ -n "$MODEL_LONG" ]; then
	check holds -DN=3 -DEPOCHS=4 -DONE_WITNESS
	check two-owners -DN=3 -DEPOCHS=4 -DONE_WITNESS -DBROKEN_CHAIN
fi
exit $status
