# Shell functions for scripted tests of daemons, sourced with bash. Files are
# written to the current directory; processes started by these functions are
# killed when the shell exits.
FLEET_KEY=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
OPERATOR_KEY=operator-key
pids=

# True if a process of that id is a child of this shell. The id of one that has ended may
# be that of a process of another script by now. Runs no command, as the shell would
# print notices of killed jobs then. Reads one line at once: the text of a file with
# several may change between two reads.
is_child() {
	local stat
	{ read -r stat <"/proc/$1/stat"; } 2>/dev/null || return 1
	stat=${stat##*) } # state, parent, ...
	stat=${stat#* }
	[ "${stat%% *}" = "$BASHPID" ]
}

cleanup() {
	for pid in $pids; do
		is_child "$pid" || continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}
trap cleanup EXIT

# kill_9 PID: kills a child process and suppresses the shell's job notice.
kill_9() { kill -KILL "$1"; wait "$1" 2>/dev/null || true; }

# await COMMAND...: retries the command for about 10 s until it succeeds.
await() {
	for _ in $(seq 200); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	echo "timed out waiting for: $*"
	return 1
}

# number NAME FILE: prints the first number stored under NAME in a JSON file.
number() { grep -o "\"$1\":[0-9]*" "$2" | head -n 1 | cut -d : -f 2; }
sha256() { printf %s "$1" | sha256sum | cut -d ' ' -f 1; }

# port_in FILE: prints the first port in a stand-in's ports file.
port_in() { grep -o '[0-9][0-9]*' "$1" | head -n 1; }

# start_platform: starts the platform stand-in with one engine pool, one model
# and two client accounts; sets PLATFORM to its URL.
start_platform() {
	standin-platform --ports-file platform.ports >platform.log 2>&1 &
	pids="$pids $!"
	await test -s platform.ports
	PLATFORM=http://127.0.0.1:$(port_in platform.ports)
	cat >config.json <<-END
	{"version":1,"instances":{},
	 "pools":{"engines":{"kind":"engine","selector":{}}},
	 "models":{"draft":{"version":"1","pool":"engines","selector":{}}},
	 "services":{},
	 "accounts":{
	  "quick":{"key_sha256":"$(sha256 quick-key)","weight":1,
	   "policy":"latency","selector":{},"max_in_flight":100},
	  "thrifty":{"key_sha256":"$(sha256 thrifty-key)","weight":1,
	   "policy":"economy","selector":{},"max_in_flight":100}}}
	END
	curl -s -X PUT --data-binary @config.json \
		"$PLATFORM/v1/kv/config/current?cas=0" >/dev/null
}

# start_engine NAME [OPTION...]: starts and registers an engine stand-in; sets
# NAME_pid and NAME_url.
start_engine() {
	local name=$1
	shift
	standin-engine --name "$name" --ports-file "$name.ports" "$@" \
		>"$name.log" 2>&1 &
	eval "${name}_pid=$!"
	pids="$pids $!"
	await test -s "$name.ports"
	eval "${name}_url=http://127.0.0.1:$(port_in "$name.ports")"
	curl -s -X PUT "$PLATFORM/v1/agent/service/register" -d "{
		\"ID\":\"$name\",\"Name\":\"engine\",\"Address\":\"127.0.0.1\",
		\"Port\":$(port_in "$name.ports"),
		\"Meta\":{\"failure_domain\":\"a\"}}"
}

# settings NAME [MEMBERS]: writes NAME.json. MEMBERS are additional JSON members
# with a leading comma.
settings() {
	cat >"$1.json" <<-END
	{"instance":"$1","failure_domain":"a",
	 "caller":{"address":"127.0.0.1","port":0},
	 "operator":{"address":"127.0.0.1","port":0},
	 "peer":{"address":"127.0.0.1","port":0},
	 "platform_url":"$PLATFORM","fleet_key":"$FLEET_KEY",
	 "operator_keys":["$OPERATOR_KEY"],"list_poll_ms":100,
	 "load_poll_ms":100,"heartbeat_ms":100$2}
	END
}

# start_daemon NAME [MEMBERS]: starts a daemon, sets NAME_pid, NAME_url and
# NAME_ops (operator address), and waits until it completes a generation.
start_daemon() {
	settings "$1" "$2"
	goldcrestd -f "$1.json" --ports-file "$1.ports" 2>"$1.log" &
	eval "$1_pid=$!"
	pids="$pids $!"
	await test -s "$1.ports"
	eval "$1_url=http://127.0.0.1:$(number caller "$1.ports")"
	eval "$1_ops=http://127.0.0.1:$(number operator "$1.ports")"
	eval "await ready \$$1_url"
}

# peer_of OPS_URL: prints the daemon's peer address, for use in seed_peers.
peer_of() {
	curl -s -H "Authorization: Bearer $OPERATOR_KEY" "$1/v1/status" |
		grep -o 'tcp://[0-9.:]*' | head -n 1
}

# ready URL: true if the daemon completes a generation.
ready() {
	call "$1" '{"model":"draft","prompt":"ready?","max_tokens":1}' |
		grep -q text_completion
}

# call URL BODY [CURL OPTION...]: requests a completion.
call() {
	local url=$1 body=$2
	shift 2
	curl -s -H 'Authorization: Bearer quick-key' "$@" \
		"$url/v1/completions" -d "$body"
}

# stream URL MAX_TOKENS [CURL OPTION...]: requests a streamed completion.
stream() {
	local url=$1 max=$2
	shift 2
	call "$url" "{\"model\":\"draft\",\"prompt\":\"$PROMPT\",
		\"max_tokens\":$max,\"stream\":true}" -N "$@"
}

# runs_on URL ENGINE: true if a new generation was placed on the engine. Each
# call uses a new prompt, because prefix affinity would keep a repeated prompt
# on one engine.
runs_on() {
	call "$1" "{\"model\":\"draft\",\"prompt\":\"$RANDOM$RANDOM\",
		\"max_tokens\":1}" |
		grep -q ":$2-"
}
PROMPT='two sofas and a fridge'

# last_id FILE: prints the last event id of an event stream.
# tokens FILE...: prints the tokens of event streams, in order.
last_id() { sed -n 's/^id: //p' "$1" | tail -n 1; }
tokens() { sed -n 's/.*"text":"\([^"]\{1,\}\)","finish_reason":null.*/\1/p' "$@"; }

# chain FILE...: prints "whole N" if the tokens of the streams are the N tokens
# of the prompt's hash chain, with none missing, repeated or from another
# response.
chain() { tokens "$@" | "$TOP/regress/bin/chain" "$PROMPT"; }

# stat URL NAME: prints a number from an engine's statistics.
stat() { curl -s "$1/v1/stats" >stats.tmp && number "$2" stats.tmp; }
stat_is() { test "$(stat "$1" "$2")" = "$3"; }
# fault URL JSON: sets or clears a fault of a stand-in.
fault() { curl -s -o /dev/null "$1/faults" -d "$2"; }
