#!/bin/sh
# Short soak runs with two fixed seeds and one new seed, which is printed.
# Guards against jobs that are lost, run twice or never end when processes fail.
set -e
for seed in 1 2; do
	bash tests/soak/soak.sh "$1" $seed 5
done
bash tests/soak/soak.sh "$1" $(($(date +%s) % 100000)) 5
