Guards against a change of the configuration that ends requests which wait for something:
they go by the configuration under which they were admitted.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ ROUTES=',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700}'
  $ put_config "$ROUTES"
  $ export DEADLINE=9000
  $ for n in 1 2 3; do start_server app$n app a; start_server llm$n llm a engine; done; ENGINES="llm1 llm2 llm3"
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ tell() { local path=$1 json=$2 s; shift 2; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/$path" -d "$json"; done; }

rename: a configuration with neither these routes and services nor the callers' key, with
the least limits.

  $ rename() {
  >   CONFIG_VERSION=$((CONFIG_VERSION + 3))
  >   operator "{\"key\":\"op/config\",\"value\":{\"version\":$CONFIG_VERSION,
  >     \"routes\":[{\"name\":\"new\",\"host\":\"new.example\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"new\",\"max_attempts\":1,\"timeout_ms\":200,\"target_latency_ms\":100}],
  >     \"services\":[{\"name\":\"new\",\"max_connections\":1}],
  >     \"limits\":{\"max_header_bytes\":300,\"max_body_bytes\":10,\"header_timeout_ms\":100,\"idle_timeout_ms\":100},
  >     \"tenants\":[{\"name\":\"south\",\"api_keys\":[\"key-9\"]}]}}"
  > }
  $ restore() { put_config "$ROUTES"; sleep 1.2; }
  $ BODY=$(head -c 200 /dev/zero | tr '\0' x)

For its turn of the retry budget.

  $ start_routed d1 ',"repeat_ratio":0,"repeat_slack":2,"repeat_window_s":1'
  $ p=; for n in 1 2 3; do (send_request /patient/once-die -d $BODY | ids >part.$n) & p="$p $!"; done; (status /find/once-cut -d $BODY >find.1) & p="$p $!"; (status /find/once-cut -d $BODY >find.2) & p="$p $!"
  $ sleep 0.3; rename; wait $p; sort part.* | uniq -c; cat find.1 find.2; status /find/ok
        3 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  200
  200
  404
  $ restore; kill -TERM $d1_pid; wait $d1_pid

For servers that pause.

  $ start_routed d2; RUNS=$(runs); (send_request /patient/slow -d $BODY >paused.out) & pid=$!; running 1; sleep 0.3
  $ tell busy '{"retry_after": "1.5", "queries": true}' $ENGINES; status /draft/busy
  503
  $ tell drop '{}' $ENGINES; tell busy '{}' $ENGINES; rename; wait $pid; ids <paused.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ restore

For the check of a crash.

  $ (status /find/once-crash -d $BODY >crash.out) & pid=$!; sleep 0.1; rename; wait $pid; cat crash.out
  200
  $ restore; kill -TERM $d2_pid; wait $d2_pid

A stream has begun at another daemon, which is lost. The others know the new configuration
and deny it, until this daemon reaches servers again a second later.

  $ start() { start_routed d$1 ",\"source\":\"127.0.0.1$1\",\"forward\":\"127.0.0.1:$(free_port)\""; }
  $ for n in 3 4 5; do start $n; done; await knows_daemons 3; partition reset "$ENGINES" 15
  $ for i in 1 2 3 4; do status /patient/ok; done | sort -u
  200
  $ (send_request /patient/slow -d $BODY | ids >hop.out) & pid=$!; sleep 0.5; rename; sleep 0.1
  $ victim=$(grep '"event":1132' d5.log | tail -n 1 | grep -o '"daemon":"d[0-9]' | grep -o '[0-9]$')
  $ eval "kill_9 \$d${victim}_pid"; sleep 1; reconnect "$ENGINES"; wait $pid; cat hop.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
