#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for program in fleet2 client2; do
	${CC:-cc} -O2 -g -Wall -Wextra -std=gnu17 -D_GNU_SOURCE \
		"review/standin-2/$program.c" -o "$out/$program" \
		-ljansson -lcrypto -lpthread
done
