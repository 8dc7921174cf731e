#!/bin/sh
# Runs the demo. Build first.
exec python3 "$(dirname "$0")/demo.py"
