#!/bin/sh
# bench_compare on three runs of each of two variants.  Guards against pairing
# runs of different seeds, ignoring a run, and not reporting a broken rule.
build=${1:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/raw"

# write_run SEED VARIANT WORTH BREAKS: writes the result file of one run.
write_run ()
{
	cat >"$dir/raw/site.day.$1.$2.json" <<END
{"G": $3, "unserved": 0.0, "fault": null, "breaks": $4,
 "parts": [["whole day", 0.7, $3], ["worst class", 0.3, $3]],
 "prices": [["machines", 1.0, 0.05]],
 "classes": [{"name": "quote", "worth": $3}]}
END
}

fail ()
{
	echo "FAIL $1"
	cat "$dir/out"
	exit 1
}

write_run 1 old 0.50 '{}'
write_run 2 old 0.90 '{}'
write_run 1 new 0.60 '{}'
write_run 2 new 0.96 '{}'
write_run 3 new 0.10 '{}'
"$build/bin/bench_compare" "$dir" site old new >"$dir/out" ||
	fail "exit status without a broken rule"
grep -q 'worth  *2 plays  *0.700 ' "$dir/out" || fail "mean of the base"
# Differences 0.10 and 0.06; Student's t for one degree of freedom is 12.706.
grep -q 'worth  *2 pairs  *0.780  +0.080 +- 0.254$' "$dir/out" ||
	fail "paired difference"
grep -q 'quote  *2 pairs' "$dir/out" || fail "measure of a class"
write_run 3 old 0.20 '{"LOST": 1}'
"$build/bin/bench_compare" "$dir" site old new >"$dir/out" &&
	fail "exit status with a broken rule"
grep -q 'BROKEN .*day.3.old' "$dir/out" || fail "broken rule"
grep -q 'worth  *3 pairs' "$dir/out" || fail "third pair"

