#!/bin/sh
# Runs clang-tidy on the files before "--" with the compiler flags after it, in
# up to 8 processes.
files=
while [ "$1" != "--" ]; do
	files="$files $1"
	shift
done
shift
printf '%s\n' $files | xargs -P 8 -n 4 sh -c '
	flags=$1
	shift
	eval "clang-tidy --quiet $* -- $flags" 2>/dev/null
' sh "$(printf "'%s' " "$@")" || exit 1
