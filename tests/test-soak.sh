#!/bin/sh
# Short soak runs, two at a time, with fixed seeds, those that once failed and
# one new seed, which is printed.  Guards against jobs that are lost, run twice
# or never end when processes fail, and against requests that a stopping process
# has read and does not answer.
{
	echo 1 5
	echo 2 5
	echo 3 8 12 24
	sed 's/ *#.*//; /^ *$/d' tests/soak/seeds
	echo $(($(date +%s) % 100000)) 8 6 16
} | xargs -P 2 -L 1 bash tests/soak/soak.sh "$1"
