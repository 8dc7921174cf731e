Guards against requests that a daemon runs for another one and fails because the retry
budget or its servers can't be used for a moment: nobody goes on with them elsewhere.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600}'
  $ export DEADLINE=9000
  $ for n in 1 2 3; do start_server app$n app a; done; APPS="app1 app2 app3"
  $ tell() { local path=$1 json=$2 s; shift 2; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/$path" -d "$json"; done; }

d1 reaches no server, and d2 runs its requests, with one retry in a second.

  $ start() { start_routed d$1 ",\"source\":\"127.0.0.1$1\",\"forward\":\"127.0.0.1:$(free_port)\",\"repeat_ratio\":0,\"repeat_slack\":4,\"repeat_window_s\":1"; }
  $ start 2; start 1; await knows_daemons 2; partition reset "$APPS" 11
  $ for i in 1 2 3 4; do status /find/ok; done | sort -u
  200
  $ sleep 1.2; for i in 1 2; do status /find/once-cut >part.$i & p="$p $!"; done; wait $p; cat part.1 part.2
  200
  200
  $ grep -c '"event":1126' d2.log
  1

d2 takes longer than a server may be silent, and d1 has nobody else: it waits.

  $ sleep 1; status /find/long
  200
