#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, from the root
# of the project, after the build of deploy/system.toml, whose objects it links.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/limpethinge
mkdir -p target/review-2
objects=$(find target/src target/platform -name '*.o' ! -name main.o \
    ! -name 'test_*')
packages="glib-2.0 libmicrohttpd libcurl libsodium jansson inih libxxhash gsl"
# shellcheck disable=SC2046,SC2086
cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Istandin -I. \
    $(pkg-config --cflags $packages) -o target/review-2/minions \
    review/standin-2/minions.c standin/fleet.c standin/fleet_store.c \
    $objects $(pkg-config --libs $packages) -lmsgpackc -lev -lm
