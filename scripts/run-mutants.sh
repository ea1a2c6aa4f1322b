#!/bin/sh
# Runs the mutant programs named as arguments: matrix-* is the fault matrix,
# unit-* are unit tests, each built with one mutant of the claims protocol.
# Fails unless each matrix reports a violation of exclusive ownership and each
# unit test program a failed test.
status=0
for mutant in "$@"; do
	output=$(CLAIMS_STOP=1 "$mutant" 2>&1)
	code=$?
	case $(basename "$mutant")$output in
	unit-*"had failures"*)
		echo "killed   $(basename "$mutant"):" \
			"$(printf '%s\n' "$output" | grep -m 1 'had failures')" ;;
	matrix-*FAILED*" may "*)
		echo "killed   $(basename "$mutant"):" \
			"$(printf '%s\n' "$output" | grep -m 1 '^FAILED.* may ')" ;;
	*)
		echo "SURVIVED $(basename "$mutant") (exit $code)"
		status=1 ;;
	esac
done
exit $status
