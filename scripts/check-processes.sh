#!/bin/sh
# Runs the whole-process tests named tests/test-*.sh against the build in $1, each
# with the shell that its first line names.
status=0
for test in tests/test-*.sh; do
	[ -e "$test" ] || continue
	if "$(sed -n '1s/^#!//p' "$test")" "$test" "$1"; then
		echo "ok   $test"
	else
		echo "FAIL $test"
		status=1
	fi
done
exit $status
