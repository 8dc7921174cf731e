# Shell functions for routed_*.t, sourced with bash after daemon.sh.
STANDINS=$TOP/standins/routed
CONFIG_VERSION=0

start_store() {
	PYTHONDONTWRITEBYTECODE=1 python3 "$STANDINS/standin_store.py" \
		store.ports >store.log 2>&1 &
	pids="$pids $!"
	await test -s store.ports
	STORE=127.0.0.1:$(cat store.ports)
}

# start_server ID SERVICE ZONE [engine [VERSION]]: starts a stand-in server, of
# version v1 by default, and waits for it; sets ID_pid. launch_server doesn't wait.
start_server() {
	launch_server "$@"
	await test -s "$1.ports"
}
launch_server() {
	PYTHONDONTWRITEBYTECODE=1 python3 "$STANDINS/standin_server.py" \
		"$1.ports" "$1" "$2" "$3" "http://$STORE" $4 $5 >"$1.log" 2>&1 &
	eval "$1_pid=$!"
	pids="$pids $!"
}

# operator JSON: sets or removes a key of the store.
# store_fault JSON: sets or clears a fault of the store.
# stats SERVER: prints the server's statistics, field SERVER NAME one member.
operator() { printf '%s' "$1" | curl -s "http://$STORE/operator" -d @- >/dev/null; }
store_fault() { curl -s "http://$STORE/faults" -d "$1" >/dev/null; }
stats() { curl -s "http://127.0.0.1:$(cat "$1.ports")/stats"; }
field() { stats "$1" | python3 -c "import json,sys; print(json.load(sys.stdin)['$2'])"; }

# has_base SERVICE VERSION: true if the store has that base version of the service.
has_base() {
	curl -s "http://$STORE/v1/kv-key?key=goldcrest%2Fversion%2F$1" |
		python3 -c 'import base64, json, sys; sys.exit(json.loads(base64.b64decode(json.load(sys.stdin)["value"]))["version"] != sys.argv[1])' "$2" 2>/dev/null
}

# partition HOW SERVERS DAEMONS: partitions servers from daemons, see
# standins/routed/cut.py; DAEMONS are the last numbers of their 127.0.0.x. reconnect
# SERVERS ends it.
partition() {
	local sources
	sources=$(printf '"127.0.0.%s",' $3)
	for s in $2; do
		curl -s "http://127.0.0.1:$(cat "$s.ports")/cut" \
			-d "{\"how\":\"$1\",\"sources\":[${sources%,}]}" >/dev/null
	done
}
reconnect() { for s in $1; do curl -s "http://127.0.0.1:$(cat "$s.ports")/cut" -d '{}' >/dev/null; done; }

# put_config [ROUTES] [KEYS]: stores a new version of the configuration with the
# default routes, ROUTES, "key-1" and KEYS (default: "key-2"). Both arguments
# start with a comma or are empty. IDLE_MS, HEADER_MS and BODY_BYTES override the
# limits of callers.
put_config() {
	CONFIG_VERSION=$((CONFIG_VERSION + 3))
	operator "{\"key\":\"op/config\",\"value\":{\"version\":$CONFIG_VERSION,
	 \"routes\":[
	  {\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\",
	   \"kind\":\"idempotent\",\"service\":\"app\",\"max_attempts\":2,
	   \"timeout_ms\":1500,\"target_latency_ms\":300},
	  {\"name\":\"book\",\"host\":\"h.example\",\"path_prefix\":\"/book/\",
	   \"kind\":\"non_idempotent\",\"service\":\"app\",\"max_attempts\":2,
	   \"timeout_ms\":1000,\"target_latency_ms\":300},
	  {\"name\":\"open\",\"host\":\"h.example\",\"path_prefix\":\"/open/\",
	   \"kind\":\"idempotent\",\"service\":\"app\",\"anonymous\":true,
	   \"max_attempts\":2,\"timeout_ms\":1000},
	  {\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\",
	   \"kind\":\"streaming\",\"service\":\"llm\",\"resumable\":true,
	   \"max_attempts\":4,\"timeout_ms\":9000,\"target_latency_ms\":2000,
	   \"target_gap_ms\":700}$1],
	 \"services\":[{\"name\":\"app\",\"max_connections\":50},
	  {\"name\":\"llm\",\"max_connections\":50,\"engine\":{\"backups\":true}}],
	 \"limits\":{\"max_header_bytes\":2000,\"max_body_bytes\":${BODY_BYTES-5000},
	  \"header_timeout_ms\":${HEADER_MS-400},\"idle_timeout_ms\":${IDLE_MS-5000}},
	 \"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-1\"${2-,\"key-2\"}]}]}}"
}

free_port() { python3 "$TOP/regress/free_port.py" $$; }

# start_routed NAME [MEMBERS]: starts a daemon and waits until it is ready.
# MEMBERS are additional JSON members of its settings, with a leading comma.
# Sets NAME_pid and the daemon's addresses: CALLER_ADDR (routed requests),
# CONTROL_ADDR (readiness, metrics) and PEER_ADDR (other daemons).
start_routed() {
	launch_routed "$@"
	await ready || tail -n 3 "$1.log"
}
launch_routed() {
	CALLER_ADDR=127.0.0.1:$(free_port)
	CONTROL_ADDR=127.0.0.1:$(free_port)
	PEER_ADDR=127.0.0.1:$(free_port)
	cat >"$1.json" <<-END
	{"mode":"routed","instance":"$1","failure_domain":"a",
	 "caller":"$CALLER_ADDR","ready":"$CONTROL_ADDR","addresses":"127.0.0.1:0","peer":"$PEER_ADDR",
	 "store":"$STORE","config_in_force_ms":2000,"revoke_ms":5000,
	 "contact_ms":3000,"stop_grace_s":4,"log_level":"debug"$2}
	END
	goldcrestd -f "$1.json" >"$1.log" 2>&1 &
	eval "$1_pid=$!"
	pids="$pids $!"
}

# start_forwarding N [DOMAIN [MEMBERS]]: starts the daemon dN, which opens its
# connections to servers from 127.0.0.1N and takes requests of other daemons. Sets
# dN_caller, dN_control, dN_forward. MEMBERS as for start_routed.
start_forwarding() {
	local forward
	forward=127.0.0.1:$(free_port)
	start_routed "d$1" ",\"source\":\"127.0.0.1$1\",\"forward\":\"$forward\",\"failure_domain\":\"${2-a}\"${3-}"
	eval "d$1_caller=$CALLER_ADDR d$1_control=$CONTROL_ADDR d$1_forward=$forward"
}
# knows_daemons N: true if the store has the entries of N daemons that have been
# there for a moment.
knows_daemons() {
	[ "$(curl -s "http://$STORE/v1/kv-range?path_prefix=goldcrest/daemons/" |
		grep -o '"key"' | wc -l)" = "$1" ] && sleep 1
}

# ready: true if the daemon at CONTROL_ADDR is ready.
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$CONTROL_ADDR/v1/ready")" = 200 ]; }

# send_request PATH [CURL OPTION...]: sends a request with a new request id, of the shell's
# process and the time, as two shells may read the same one, to the daemon at CALLER_ADDR;
# prints the response body and the status code. HOST, AUTH and DEADLINE (ms) override the
# Host, Authorization and deadline headers, ID_PREFIX the begin of the request id.
send_request() {
	local path=$1
	shift
	curl -sN --max-time 10 -w '%{http_code}\n' "http://$CALLER_ADDR$path" \
		-H "Host: ${HOST-h.example}" \
		-H "Goldcrestfield-Request-Id: ${ID_PREFIX-r}$BASHPID$(date +%N)" \
		-H "Authorization:${AUTH- Token key-1}" \
		-H "Goldcrestfield-Deadline-Ms: ${DEADLINE-3000}" "$@"
}
# status PATH [CURL OPTION...]: the same, but prints only the status code.
status() { send_request "$@" -o /dev/null; }
