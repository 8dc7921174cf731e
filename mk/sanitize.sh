#!/bin/sh
# Builds a copy of the tree with the address and undefined-behaviour sanitizers
# and runs the unit tests, the properties and the scripts of the routed mode
# there. Leaks are not reported: the libraries keep memory until the exit.
set -eu

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git ls-files -co --exclude-standard -z ':!journal' | xargs -0 cp --parents -t "$dir"
cd "$dir"
# A test gives msgpack a length that no machine has memory for.
export ASAN_OPTIONS=detect_leaks=0:allocator_may_return_null=1
# The sanitizer's own memory counts in a test's bound.
export SANITIZER_KB=262144
make --no-print-directory -j"$(nproc)" build OPT="-O1 -g" \
	SANITIZE=address,undefined
make --no-print-directory -j"$(nproc)" -C regress check OPT="-O1 -g" \
	SANITIZE=address,undefined SCRIPTS="$(cd regress && echo routed_*.t)"
