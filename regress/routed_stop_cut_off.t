Guards against requests of a daemon in its grace period that are lost because the other
daemons, whose list lacks it by then, run nothing for it.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":3000}'
  $ export DEADLINE=9000
  $ start_server app1 app a; for n in 1 2 3; do start_server llm$n llm a engine; done; SERVERS="app1 llm1 llm2 llm3"
  $ whole() { grep -o '^id: [0-9]*' $1 | awk '$2 != NR { print "not in order:", $0 } END { print NR }'; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }

Each daemon has an address of its own, by which the others know it.

  $ listed() { [ "$(curl -s "http://$STORE/v1/kv-range?path_prefix=goldcrest/daemons/" | grep -o '"key"' | wc -l)" = "$1" ]; }
  $ start() { start_routed d$1 ",\"source\":\"127.0.0.1$1\",\"forward\":\"$2:$(free_port)\",\"repeat_ratio\":0,\"repeat_slack\":12,\"repeat_window_s\":9,\"stop_grace_s\":8"; eval "d$1_caller=$CALLER_ADDR"; }
  $ start 2 127.0.0.22; start 3 127.0.0.23; start 1 127.0.0.21; await knows_daemons 3

A stream and a lookup, each with one retry.

  $ RUNS=$(runs); (send_request /draft/many >stream.out) & pid=$!; (status /find/long >find.out) & find_pid=$!; running 2; sleep 0.2
  $ kill -TERM $d1_pid; await listed 2; sleep 0.8; partition reset "$SERVERS" 11; wait $pid $find_pid
  $ whole stream.out; cat find.out
  30
  200

Daemons that have started since don't know that it is one. They say so, which costs no
retry, and the stream goes on once its servers can be reached again.

  $ reconnect "$SERVERS"; wait $d1_pid; cp d1.log first.log; start 1 127.0.0.21; await knows_daemons 3
  $ RUNS=$(runs); (send_request /draft/many >started.out) & pid=$!; running 1; sleep 0.2
  $ kill -TERM $d1_pid; await listed 2; for n in 2 3; do eval "kill_9 \$d${n}_pid"; done
  $ start 2 127.0.0.22; start 3 127.0.0.23; partition reset "$SERVERS" 11; sleep 1.5; reconnect "$SERVERS"; wait $pid
  $ whole started.out; cat d[23].log | grep -c '"event":1134' | awk '{ print ($1 > 0) }'
  30
  1
