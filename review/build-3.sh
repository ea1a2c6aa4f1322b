#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -O2 -g -Wall -Wextra -pthread -o target/review-3/site \
	review/standin-3/site.c review/standin-3/store.c \
	review/standin-3/workers.c review/standin-3/callers.c \
	$(pkg-config --cflags --libs jansson)
