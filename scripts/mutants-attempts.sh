#!/bin/sh
# Builds the slice attempts with one mechanism disabled at a time and requires
# that the fault matrix then fails.  Arguments: build directory, compiler,
# flags, "--", libraries and objects of the other slices.
build=$1/mutants
shift
compile=
while [ "$1" != "--" ]; do
	compile="$compile '$1'"
	shift
done
shift
rest=$*
sources="$(ls src/attempts/*.c | grep -v /test_ | tr '\n' ' ')"
sources="$sources src/attempts/test_attempts_matrix.c"
names=$(grep -oh 'MUTATED ([A-Z_]*)' src/attempts/*.c | tr -d '()' |
	awk '{ print $2 }' | sort -u)
mkdir -p "$build"
export build compile rest sources
printf '%s\n' $names | xargs -P 4 -n 1 sh -c '
	program=$build/$1
	if ! eval "$compile -DATTEMPTS_MUTATE_$1 -o $program $sources $rest" \
		2>"$program.log"; then
		echo "FAIL $1 does not build"
		exit 1
	fi
	MATRIX_STOP=1 timeout 300 "$program" >"$program.log" 2>/dev/null
	case $? in
	0) echo "FAIL $1 survives"; exit 1 ;;
	1) echo "ok   $1:$(grep FAILED "$program.log" | head -n 1 | cut -d " " -f 4-)" ;;
	*) echo "FAIL $1 did not run"; exit 1 ;;
	esac
' sh
