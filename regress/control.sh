# Functions for the scripted runs of operator commands (control_*.t). Sourced
# with bash; includes daemon.sh. OPERATOR_URL is a daemon's operator listener.
. "$TOP/regress/daemon.sh"
export GOLDCREST_OPERATOR_KEY=$OPERATOR_KEY

# ctl OPERATOR_URL ARGUMENT...: runs goldcrestctl against one daemon.
ctl() {
	local url=$1
	shift
	goldcrestctl --url "$url" "$@"
}

# ctl_exit_status OPERATOR_URL ARGUMENT...: as ctl, but prints the exit status.
ctl_exit_status() {
	ctl "$@" >ctl.out 2>ctl.err
	echo "$?"
}

# fault JSON: sets a fault of the platform stand-in.
fault() { curl -s -o /dev/null "$PLATFORM/faults" -d "$1"; }

# is_ready OPERATOR_URL N: true if the daemon knows N daemons, may accept
# changes and its configuration is in effect.
is_ready() {
	ctl "$1" --json status >status.tmp &&
		[ "$(number known_daemons status.tmp)" = "$2" ] &&
		grep -q '"may_accept":true' status.tmp &&
		grep -q '"in_effect":true' status.tmp
}

# at_version OPERATOR_URL N: true if the daemon has version N in effect.
at_version() {
	ctl "$1" status | grep -q ": version $2, in effect"
}

# start_three_daemons [MEMBERS]: starts d1, d2 and d3, with additional JSON
# members of their settings; waits until they know each other.
start_three_daemons() {
	start_daemon d1 "$1"
	SEED=$(peer_of "$d1_ops")
	start_daemon d2 "$1,\"seed_peers\":[\"$SEED\"]"
	start_daemon d3 "$1,\"seed_peers\":[\"$SEED\"]"
	await is_ready "$d1_ops" 3
	await is_ready "$d2_ops" 3
	await is_ready "$d3_ops" 3
}
