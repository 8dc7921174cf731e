#!/bin/sh
# The scripts' stand-ins are Python in review/common and need no build; this only
# checks that each file is there and valid. target/goldcrestd comes from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
for f in common/*.py */case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done
