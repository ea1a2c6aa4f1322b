#!/bin/bash
# Builds the stand-ins of the cases, target/review-platform and review-proxy, from the
# project's own sources.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/limpethinge target/bin/standin-fleet
packages="glib-2.0 libmicrohttpd libcurl libsodium jansson inih libxxhash gsl"
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Istandin -I. \
    $(pkg-config --cflags $packages) -o target/review-platform \
    review/platform.c \
    $(find target/standin -name '*.o' ! -name 'main_*') \
    $(find target/src target/platform -name '*.o' ! -name 'main.o' ! -name 'test_*') \
    $(pkg-config --libs $packages) -lmsgpackc -lev -lm
cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o target/review-proxy \
    review/proxy.c -lev
