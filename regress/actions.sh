# Shell functions for the tests of non-idempotent actions (actions_*.t).
# Sourced by bash; includes daemon.sh.
. "$TOP/regress/daemon.sh"

# start_backend NAME [OPTION...]: starts and registers a backend server; sets
# NAME_pid and NAME_url.
start_backend() {
	local name=$1
	shift
	standin-backend --name "$name" --ports-file "$name.ports" "$@" \
		>"$name.log" 2>&1 &
	eval "${name}_pid=$!"
	pids="$pids $!"
	await test -s "$name.ports"
	eval "${name}_url=http://127.0.0.1:$(port_in "$name.ports")"
	curl -s -X PUT "$PLATFORM/v1/agent/service/register" -d "{
		\"ID\":\"$name\",\"Name\":\"service\",\"Address\":\"127.0.0.1\",
		\"Port\":$(port_in "$name.ports"),
		\"Meta\":{\"failure_domain\":\"a\"}}"
}

# start_action_platform: starts a platform whose configuration has two services:
# pickup with a status path, nostatus without one.
start_action_platform() {
	start_platform
	sed -i -e 's/"version":1,"inst/"version":2,"inst/' \
		-e 's/"pools":{/&"plain":{"kind":"service","selector":{}},/' \
		-e 's/"services":{}/"services":{"pickup":PICKUP,"nostatus":NOSTATUS}/' \
		-e 's/PICKUP/{"pool":"plain","checks_fencing":false,"status_path":"\/status\/{key}"}/' \
		-e 's/NOSTATUS/{"pool":"plain","checks_fencing":false,"status_path":""}/' \
		config.json
	curl -s "$PLATFORM/v1/kv/config/current" >stored.tmp
	curl -s -o /dev/null -X PUT --data-binary @config.json \
		"$PLATFORM/v1/kv/config/current?cas=$(number ModifyIndex stored.tmp)"
}

# start_two_daemons: starts the platform, one engine (for the readiness check),
# one backend server and the daemons d1 and d2, and waits until both daemons know
# the backend server.
start_two_daemons() {
	start_action_platform
	start_engine e1
	start_backend b1
	start_daemon d1
	start_daemon d2
	await reads_service "$d1_url"
	await reads_service "$d2_url"
}
# reads_service URL: true if the daemon forwards a GET of pickup.
reads_service() { curl -s -H 'Authorization: Bearer quick-key' \
	"$1/v1/services/pickup/effects" | grep -q total; }

# new_key [MS]: prints a UUID version 7 of now, or of MS milliseconds ago.
new_key() {
	local ms=$(($(date +%s%3N) - ${1:-0})) hex
	hex=$(printf %012x "$ms")
	printf '%s-%s-7%03x-8%03x-%04x%04x%04x' "${hex:0:8}" "${hex:8:4}" \
		$((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

# send_action URL KEY [SERVICE]: sends an action. Prints the HTTP status, the
# run state, the error code, and the names of the headers Retry-After and
# Idempotent-Replayed if the response has them.
send_action() {
	local headers response
	headers=$(mktemp -p .)
	response=$(mktemp -p .)
	curl -s -m 20 -D "$headers" -o "$response" -X POST \
		-H 'Authorization: Bearer quick-key' \
		-H "Idempotency-Key: $2" -H 'Content-Type: application/json' \
		"$1/v1/services/${3:-pickup}/bookings" -d '{"item":"sofa"}'
	tr -d '\r' <"$headers" | sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' |
		grep -v 100
	grep -o '"run":"[a-z_]*"\|"code":"[a-z_]*"\|"state":"[a-z]*"' "$response" |
		sort -u
	tr -d '\r' <"$headers" | grep -io '^retry-after\|^idempotent-replayed'
	rm -f "$headers" "$response"
	true
}

# effects KEY: prints "N of M": how often the backend server b1 carried out an
# action with the key, and with any key.
effects() {
	curl -s "$b1_url/effects" >effects.tmp
	local n=$(number "$1" effects.tmp)
	echo "${n:-0} of $(number total effects.tmp)"
}
effects_are() { test "$(effects "$1")" = "$2"; }
kv_fault() { fault "$PLATFORM" "$1"; }
kv_stat() { curl -s "$PLATFORM/stats" >kv.tmp && number "$1" kv.tmp; }
