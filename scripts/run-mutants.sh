#!/bin/sh
# Runs the fault matrix built with each mutant; a mutant without a
# violation of exclusive ownership is an error.
status=0
for mutant in "$@"; do
	output=$(CLAIMS_STOP=1 "$mutant" 2>&1)
	code=$?
	case $output in
	*FAILED*" may "*)
		echo "killed   $(basename "$mutant"):" \
			"$(printf '%s\n' "$output" | grep -m 1 '^FAILED.* may ')" ;;
	*)
		echo "SURVIVED $(basename "$mutant") (exit $code)"
		status=1 ;;
	esac
done
exit $status
