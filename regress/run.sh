#!/bin/sh
# Runs the test programs and the scripted tests once and prints
# "N passed, N failed" as the last line. Arguments: the names of the programs and
# of the scripts. JOBS scripted tests run in parallel, one by default. Failures
# that KNOWN-RED.txt excuses by test, step and text (known_red.py) are printed
# but not counted. The ten that took longest are named. Exit status 2: JOBS is no
# positive number.
set -u

programs=$1
scripts=$2
root=$(cd .. && pwd)
export TOP="$root"
export PATH="$root/goldcrestd:$root/goldcrestctl:$root/goldcrestcall:$root/standins/engine:$root/standins/platform:$root/standins/backend:$root/bench:$PATH"
passed=0
failed=0
jobs=${JOBS:-1}
case $jobs in
*[!0-9]* | 0*)
	echo "run.sh: JOBS must be a positive number, not '$jobs'" >&2
	exit 2
	;;
esac
dir=$(mktemp -d)
out=$dir/out
trap 'rm -rf "$dir"' EXIT

known_red() {
	[ -s "$root/KNOWN-RED.txt" ] &&
		./known_red.py "$root/KNOWN-RED.txt" "$1" "$out"
}

# Adds up the result of a test program or script. Arguments: name, exit status,
# number of tests in it.
count_result() {
	if [ "$2" -eq 0 ]; then
		passed=$((passed + $3))
		echo "ok: $1 ($3)"
		return
	fi
	cat "$out"
	if known_red "$1"; then
		echo "known red: $1"
		return
	fi
	failed=$((failed + 1))
	echo "FAILED: $1"
}

# Prints the number of tests in the program whose output is in $out: those that
# check reports, and one for each property that passed. At least one.
number_of_tests() {
	n=$(sed -n 's/^[0-9]*%: Checks: \([0-9]*\),.*/\1/p' "$out" |
		awk '{ n += $1 } END { print n + 0 }')
	n=$((n + $(grep -c '^OK, passed' "$out")))
	[ "$n" -gt 0 ] || n=1
	echo "$n"
}

for program in $programs; do
	began=$(date +%s)
	timeout 300 "./$program" >"$out" 2>&1
	status=$?
	echo "$(($(date +%s) - began)) $(basename "$program")" >>"$dir/seconds"
	count_result "$(basename "$program")" $status "$(number_of_tests)"
done
export dir
printf '%s\n' $scripts | xargs -P "$jobs" -n 1 sh -c '
	began=$(date +%s)
	timeout 300 cram3 --shell=/bin/bash "$0" >"$dir/$0.out" 2>&1
	echo $? >"$dir/$0.status"
	echo "$(($(date +%s) - began)) $0" >>"$dir/seconds"'
for script in $scripts; do
	out=$dir/$script.out
	# A script without a status file counts as failed.
	status=$(cat "$dir/$script.status" 2>/dev/null) || status=1
	count_result "$script" "$status" 1
done
echo "Slowest, in seconds:"
sort -rn "$dir/seconds" | head -n 10
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
