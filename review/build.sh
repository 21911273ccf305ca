#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, in review/build/.
# Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
make -s BUILD=review/build review/build/net/httpd.o
cflags="-std=gnu17 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -iquote net"
# shellcheck disable=SC2086
${CC:-cc} $cflags review/standin/platform.c review/build/net/httpd.o \
	-o review/build/rv-platform -lh2o -luv -lssl -lcrypto -lz -ljansson -lbsd -lm
# shellcheck disable=SC2086
${CC:-cc} $cflags review/standin/call.c -o review/build/rv-call -lcurl
