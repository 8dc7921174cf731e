Guards against answers that are cut, or requests that are failed, because no server can
be used for a moment, though their callers would wait until one can.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600}'
  $ export DEADLINE=9000
  $ for n in 1 2; do start_server app$n app a; done; for n in 1 2 3; do start_server llm$n llm a engine; done
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ now_ms() { date +%s%3N; }
  $ tell() { local path=$1 json=$2 s; shift 2; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/$path" -d "$json"; done; }
  $ ENGINES="llm1 llm2 llm3"

A stream loses its server while all of them want nothing new for 1.5 s.

  $ start_routed d1
  $ RUNS=$(runs); (send_request /draft/slow >paused.out) & pid=$!; running 1; sleep 0.3
  $ tell busy '{"retry_after": "1.5", "queries": true}' $ENGINES; status /draft/busy
  503
  $ tell drop '{}' $ENGINES; tell busy '{}' $ENGINES; wait $pid; ids <paused.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

The links to all servers are reset for 1.5 s.

  $ sleep 2; start_routed d2 ',"source":"127.0.0.12"'
  $ RUNS=$(runs); (send_request /draft/slow >reset.out) & pid=$!; running 1; sleep 0.3
  $ partition reset "$ENGINES" 12; sleep 1.5; reconnect "$ENGINES"; wait $pid; ids <reset.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
