#!/bin/sh
# Runs the test programs and the scripted tests and prints "N passed, N failed" as the
# last line. Arguments: the names of the programs and of the scripts. JOBS tests run at
# a time, as many as there are processors less two by default; those with a line
# "Runs alone: REASON" (a program: in its source) run one after another at the end. Failures that KNOWN-RED.txt
# excuses by test, step and text (known_red.py) are printed but not counted. What a
# failed test left is kept in failed/; the ends of its logs are printed. The ten tests
# that took longest are named. REPEAT runs all tests so many times and prints how often
# each failed. Exit status 2: JOBS or REPEAT is no positive number, a test is missing.
set -u

root=$(cd .. && pwd)
export TOP="$root"
export PATH="$root/goldcrestd:$root/goldcrestctl:$root/goldcrestcall:$root/standins/engine:$root/standins/platform:$root/standins/backend:$root/bench:$PATH"
LOG_LINES=40
LOG_COLUMNS=400
passed=0
failed=0

fail() {
	echo "run.sh: $*" >&2
	exit 2
}

# Arguments: name and value of a setting.
check_number() {
	case $2 in
	'' | *[!0-9]* | 0*) fail "$1 must be a positive number, not '$2'" ;;
	esac
}

jobs=$(($(nproc) - 2))
[ "$jobs" -gt 0 ] || jobs=1
jobs=${JOBS-$jobs}
repeat=${REPEAT-1}
check_number JOBS "$jobs"
check_number REPEAT "$repeat"
for script in $2; do
	[ -f "$script" ] || fail "$script: no such script"
done

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
rm -rf failed
# The scripts share builds of older commits.
export OLD_BUILDS="${OLD_BUILDS-$dir/old-builds}"

# Runs the tests on standard input, so many at a time.
run_tests() {
	DIR=$dir xargs -r -P "$1" -n 2 sh -c './run_test.sh "$1" "$DIR/$0-${1##*/}"'
}

# Prints "ROUND TEST" for each test in the arguments.
rounds() {
	for round in $(seq "$repeat"); do
		for test in "$@"; do
			echo "$round $test"
		done
	done
}

known_red() {
	[ -s "$root/KNOWN-RED.txt" ] &&
		./known_red.py "$root/KNOWN-RED.txt" "$1" "$2"
}

# Prints the number of tests in the program whose output is in the argument: those that
# check reports, and one for each property that passed. At least one.
number_of_tests() {
	n=$(sed -n 's/^[0-9]*%: Checks: \([0-9]*\),.*/\1/p' "$1" |
		awk '{ n += $1 } END { print n + 0 }')
	n=$((n + $(grep -c '^OK, passed' "$1")))
	[ "$n" -gt 0 ] || n=1
	echo "$n"
}

# Prints the ends of the logs below a folder.
print_logs() {
	find "$1" -name '*.log' | sort | while read -r log; do
		echo "== ${log##*/}"
		tail -n $LOG_LINES "$log" | cut -c "1-$LOG_COLUMNS"
	done
}

# Adds up the result of a test. Arguments: name, its folder.
count_result() {
	name=$1
	status=$(cat "$2/status" 2>/dev/null) || status=1
	if [ "$status" -eq 0 ]; then
		n=1
		[ "$name" != "${name%.t}" ] || n=$(number_of_tests "$2/out")
		passed=$((passed + n))
		[ "$repeat" -gt 1 ] || echo "ok: $name ($n)"
		rm -rf "$2/files"
		return
	fi
	cat "$2/out"
	if known_red "$name" "$2/out"; then
		echo "known red: $name"
		echo "$name known red" >>"$dir/failures"
		return
	fi
	failed=$((failed + 1))
	mkdir -p failed
	kept=failed/${2##*/}
	mv "$2" "$kept"
	print_logs "$kept"
	echo "FAILED: $name, kept in regress/$kept"
	echo "$name failed" >>"$dir/failures"
}

# True if the test is marked in its script, or in the program's source.
runs_alone() {
	source=${1#bin/}
	grep -qs 'Runs alone: ' "$source" "$source.c" "$source.cc"
}

alone=
beside=
for test in $2 $1; do
	if runs_alone "$test"; then
		alone="$alone $test"
	else
		beside="$beside $test"
	fi
done
rounds $beside | run_tests "$jobs"
rounds $alone | run_tests 1
for round in $(seq "$repeat"); do
	for test in $1 $2; do
		name=${test##*/}
		echo "$(cat "$dir/$round-$name/seconds" 2>/dev/null) $name" >>"$dir/seconds"
		count_result "$name" "$dir/$round-$name"
	done
done
echo "Slowest, in seconds:"
sort -rn "$dir/seconds" | head -n 10
if [ "$repeat" -gt 1 ]; then
	echo "Failures in $repeat runs:"
	[ ! -f "$dir/failures" ] || sort "$dir/failures" | uniq -c
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
