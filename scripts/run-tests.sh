#!/bin/sh
# Runs the CUnit programs named as arguments, four at a time; fails if a
# program fails or runs no assertion.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# shellcheck disable=SC2016
printf '%s\n' "$@" | xargs -P 4 -I {} sh -c '
	name=$(basename "$2")
	"$2" >"$1/$name.out" 2>&1
	echo $? >"$1/$name.code"
' sh "$work" {}

status=0
total=0
for program in "$@"; do
	name=$(basename "$program")
	code=$(cat "$work/$name.code")
	assertions=$(awk '$1 == "asserts" { print $2 }' "$work/$name.out")
	if [ "$code" -ne 0 ] || [ "${assertions:-0}" -eq 0 ]; then
		tail -n 60 "$work/$name.out"
		echo "FAIL $program (exit $code)"
		status=1
	else
		echo "ok   $name $assertions assertions"
		sed -n 's/^ *known red:/     known red:/p' "$work/$name.out"
		total=$((total + assertions))
	fi
done
echo "$total assertions in all"
exit $status
