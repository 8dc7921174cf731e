#!/bin/sh
# Runs the benchmarks named in the arguments, or all. Build first.
exec python3 "$(dirname "$0")/bench.py" "$@"
