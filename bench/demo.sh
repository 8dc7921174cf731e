#!/bin/sh
# Runs the demo; needs a finished build.
exec python3 "$(dirname "$0")/demo.py"
