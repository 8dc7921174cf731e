# Functions for the scripted runs of operators (control_*.t). Sourced with
# bash; adds to daemon.sh.
. "$TOP/regress/daemon.sh"
export GOLDCREST_OPERATOR_KEY=$OPERATOR_KEY

# ctl OPS_URL ARGUMENT...: goldcrestctl at one daemon.
ctl() {
	local url=$1
	shift
	goldcrestctl --url "$url" "$@"
}

# ctl_rc OPS_URL ARGUMENT...: its exit code.
ctl_rc() {
	ctl "$@" >ctl.out 2>ctl.err
	echo "$?"
}

fault() { curl -s -o /dev/null "$PLATFORM/faults" -d "$1"; }

# knows OPS_URL N: true if the daemon knows N daemons and has all versions.
knows() {
	ctl "$1" --json status >status.tmp &&
		[ "$(number known_daemons status.tmp)" = "$2" ] &&
		grep -q '"may_accept":true' status.tmp &&
		grep -q '"in_effect":true' status.tmp
}

# at_version OPS_URL N: true if the daemon has version N in effect.
at_version() {
	ctl "$1" status | grep -q ": version $2, in effect"
}

# three_daemons: starts d1, d2 and d3 that know each other.
three_daemons() {
	start_daemon d1
	SEED=$(peer_of "$d1_ops")
	start_daemon d2 ",\"seed_peers\":[\"$SEED\"]"
	start_daemon d3 ",\"seed_peers\":[\"$SEED\"]"
	await knows "$d1_ops" 3
	await knows "$d2_ops" 3
	await knows "$d3_ops" 3
}
