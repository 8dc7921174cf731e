Guards against requests that end with 502 because their server was lost while the
others are full for a moment: their caller would wait longer than that.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","service":"app","max_attempts":2,"timeout_ms":6000,"target_latency_ms":2000}'
  $ start_server app1 app a; start_server app2 app b
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ start_routed d1; DEADLINE=8000
  $ set_servers() { local path=$1 json=$2; shift 2; "$TOP/regress/brittle_load.py" set "$path" "$json" "$@"; }
  $ brittle() { set_servers /brittle '{"n": "6", "room": 0}' "$@"; set_servers /slots '{"slots": 1, "work_ms": 1200, "room": 0}' "$@"; }

lose PATH SERVER: both servers get a request; the one falls, while the other one is
full. Prints how the two ended and how often they ran.

  $ lose() {
  >   local path=$1 runs
  >   for _ in 1 2 3 4; do status $path & done >warm.out; wait $!; sleep 2
  >   runs=$(cat runs.log | wc -l)
  >   (status $path >first.out) & first=$!; sleep 0.1; (status $path >second.out) & second=$!
  >   sleep 0.2; set_servers /fall '{}' $2.ports; wait $first $second
  >   cat first.out second.out; echo "$(($(cat runs.log | wc -l) - runs)) runs"
  > }

A lookup, and a stream without its first event.

  $ brittle app1.ports app2.ports; lose /read/ok app1
  200
  200
  3 runs
  $ brittle llm1.ports llm2.ports; lose /draft/ok llm1
  200
  200
  3 runs
