#!/bin/sh
# Runs the measurements; needs a finished build.
exec python3 "$(dirname "$0")/bench.py" "$@"
