#!/bin/sh
# Short, repeatable run of the fuzz targets: fuzz-check.sh BUILD RUNS SEED
# TARGET...  Replays the corpus of each target, then makes RUNS runs from it.
# Prints the output of libFuzzer only on failure.  Inputs in fuzz/known-red
# still fail and are listed in KNOWN-RED.txt; one that passes is an error, as
# it has to move to the corpus.
build=$1
runs=$2
seed=$3
shift 3
status=0
for target in "$@"; do
	log=$build/fuzz_$target.log
	work=$build/check/$target
	rm -rf "$work"
	mkdir -p "$work"
	if "$build/fuzz_$target" fuzz/corpus/$target/* >"$log" 2>&1 &&
		"$build/fuzz_$target" -runs="$runs" -seed="$seed" -max_len=4096 \
			-artifact_prefix="$build/" "$work" \
			"fuzz/corpus/$target" >>"$log" 2>&1; then
		echo "ok   fuzz_$target: corpus and $runs runs with seed $seed"
	else
		tail -40 "$log"
		echo "FAIL fuzz_$target (log $log)"
		status=1
	fi
	for input in fuzz/known-red/$target/*; do
		[ -e "$input" ] || continue
		if FUZZ_UNGUARDED=1 "$build/fuzz_$target" "$input" \
			>/dev/null 2>&1; then
			echo "FAIL $input passes: move it to fuzz/corpus/$target"
			status=1
		else
			echo "red  $input (KNOWN-RED.txt)"
		fi
	done
done
exit $status
