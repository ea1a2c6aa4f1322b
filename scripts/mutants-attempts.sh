#!/bin/sh
# Mutation test of src/attempts: builds it with one mechanism disabled at a
# time and requires that the fault matrix then fails.  Arguments: build
# directory, compiler, flags, "--", libraries and objects of the other modules.
build=$1/mutants
shift
compile=
while [ "$1" != "--" ]; do
	compile="$compile '$1'"
	shift
done
shift
link_inputs=$*
sources="$(ls src/attempts/*.c | grep -v /test_ | tr '\n' ' ')"
sources="$sources src/attempts/test_attempts_matrix.c"
mutants=$(grep -oh 'MUTATED ([A-Z_]*)' src/attempts/*.c | tr -d '()' |
	awk '{ print $2 }' | sort -u)
mkdir -p "$build"
export build compile link_inputs sources
printf '%s\n' $mutants | xargs -P 4 -n 1 sh -c '
	program=$build/$1
	if ! eval "$compile -DATTEMPTS_MUTATE_$1 -o $program $sources \
		$link_inputs" 2>"$program.log"; then
		echo "FAIL $1 does not build"
		exit 1
	fi
	MATRIX_STOP=1 timeout 300 "$program" >"$program.log" 2>/dev/null
	case $? in
	0) echo "FAIL $1 survives: the fault matrix passes"; exit 1 ;;
	1) echo "ok   $1:$(grep FAILED "$program.log" | head -n 1 | cut -d " " -f 4-)" ;;
	*) echo "FAIL $1 crashed or timed out"; exit 1 ;;
	esac
' sh
