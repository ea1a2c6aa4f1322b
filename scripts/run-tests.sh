#!/bin/sh
# Runs the CUnit programs named as arguments; fails if one fails or if one
# ran no assertion.
status=0
total=0
for program in "$@"; do
	output=$("$program" 2>&1)
	code=$?
	asserts=$(printf '%s\n' "$output" | awk '$1 == "asserts" { print $2 }')
	if [ $code -ne 0 ] || [ -z "$asserts" ] || [ "$asserts" -eq 0 ]; then
		printf '%s\n' "$output"
		echo "FAIL $program (exit $code)"
		status=1
	else
		echo "ok   $(basename "$program") $asserts assertions"
		total=$((total + asserts))
	fi
done
echo "$total assertions in all"
exit $status
