#!/bin/sh
# Runs the fault matrix, or the unit tests for names with unit-, built with
# each mutant.  A mutant without a violation of exclusive ownership in the
# matrix, or without a failed unit test, is an error.
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
