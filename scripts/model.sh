#!/bin/sh
# Checks the Promela model of the claims protocol with spin: the complete
# protocol must hold, and each variant that leaves out one rule must reach a
# state with two owners.  Argument: build directory.
build=$1
model=$(pwd)/model/claims.pml
status=0
# check RESULT SPIN-ARGUMENTS...
check() {
	expected=$1
	shift
	dir=$build/$(echo "$*" | tr -d ' -')
	mkdir -p "$dir"
	out=$(cd "$dir" && spin "$@" -a "$model" &&
		cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -w -o pan pan.c &&
		./pan -m1000000 -w24 2>&1)
	states=$(printf '%s\n' "$out" | awk '/states, stored/ { print $1 }')
	case $out in
	*"max search depth too small"*) result=truncated ;;
	*"(work_left[k]==0)"*) result=two-owners ;;
	*"errors: 0"*) result=holds ;;
	*) result=error ;;
	esac
	if [ "$result" = "$expected" ]; then
		echo "ok   $result, $states states: $*"
	else
		echo "FAIL $result instead of $expected: $*"
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
# Two consecutive takeovers: four more minutes and 1.7 GB more memory.
if [ -n "$MODEL_LONG" ]; then
	check holds -DN=3 -DEPOCHS=4 -DONE_WITNESS
	check two-owners -DN=3 -DEPOCHS=4 -DONE_WITNESS -DBROKEN_CHAIN
fi
exit $status
