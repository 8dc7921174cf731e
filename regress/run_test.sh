#!/bin/sh
# Runs one test. Arguments: bin/PROGRAM or SCRIPT.t, and a folder that the test has for
# itself. Leaves there "out", what it printed, "status", its exit status, "seconds" and,
# of a script, the files that it wrote.
set -u

test=$1
dir=$2
TIME_LIMIT_S=300

case $test in
*.t)
	mkdir -p "$dir/files"
	# A copy, as cram writes the output of a script beside it.
	cp "$test" "$dir/"
	set -- cram3 --keep-tmpdir --shell=/bin/bash "$dir/${test##*/}"
	;;
*)
	mkdir -p "$dir"
	set -- "./$test"
	;;
esac
began=$(date +%s)
TMPDIR=$dir/files timeout $TIME_LIMIT_S "$@" >"$dir/out" 2>&1
status=$?
[ $status -ne 124 ] || echo "ended after $TIME_LIMIT_S s" >>"$dir/out"
echo $(($(date +%s) - began)) >"$dir/seconds"
# Written last: a test without it did not end.
echo $status >"$dir/status"
