Guards against a planned stop that ends requests without an answer, or that says of
some which ran that they didn't, while requests wait for something or are passed on.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ route() { echo ",{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"kind\":\"$2\",\"service\":\"$3\",\"max_attempts\":3,\"timeout_ms\":$4,\"target_latency_ms\":2000$5}"; }
  $ export ROUTES="$(route find idempotent app 1500)$(route buy non_idempotent app 1500)$(route long non_idempotent app 30000)$(route text streaming llm 9000 ',"target_gap_ms":700,"resumable":true')"
  $ put_config "$ROUTES"
  $ for n in 1 2 3; do start_server app$n app a; start_server llm$n llm a engine; done; touch runs.log
  $ APPS="app1 app2 app3"; SERVERS="$APPS llm1 llm2 llm3"
  $ post() { for s in $2; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)$1" -d "$3"; done; }
  $ GRACE=',"stop_grace_s":3'
  $ ALL="GET:/find/ok:300,1500 GET:/find/slow:700,1500 POST:/find/ok:1500,5000 POST:/buy/ok:300,900 POST:/buy/slow:700,5000 POST:/long/ok:400,2000,8000 GET:/text/ok:500,900,9000 GET:/text/slow:1500,9000"

stop NAME PATHS [COMMAND]: stops a daemon under load.

  $ stop() { eval "pid=\$${1}_pid"; "$TOP/regress/stop_waits.py" $CALLER_ADDR $pid $1.log $2 ${3:+-- "$3"} 2>>stop.err; wait $pid; echo "status $?"; }

A second SIGTERM, SIGHUP and a change of the configuration during the stop.

  $ start_routed d0 "$GRACE"; export -f put_config operator store_fault; export STORE CONFIG_VERSION
  $ stop d0 "$ALL" "kill -TERM $d0_pid; kill -HUP $d0_pid; IDLE_MS=300 put_config \"\$ROUTES\"; kill -HUP $d0_pid"
  cut 0 untrue 0 failed 0 True
  status 0

Requests are passed on by the daemon that stops, as it reaches no server.

  $ CONFIG_VERSION=9 put_config "$ROUTES"; for n in 1 2 3; do start_forwarding $n a "$GRACE"; done; await knows_daemons 3
  $ cut_off() { partition reset "$SERVERS" $1; for i in 1 2 3 4 5 6; do status /find/ok; status /text/ok; done >find.out; sleep 0.5; }
  $ CALLER_ADDR=$d1_caller; cut_off 11
  $ stop d1 "$ALL"; echo $(($(grep -c '"event":1132' d1.log) >= 40))
  cut 0 untrue 0 failed 0 True
  status 0
  1

Another one passes them on to the one that stops.

  $ reconnect "$SERVERS"; CALLER_ADDR=$d3_caller; cut_off 13; start_forwarding 4 a "$GRACE"; sleep 1; CALLER_ADDR=$d3_caller
  $ stop d2 "$ALL"; echo $(($(grep -c '"event":1133' d2.log) >= 20))
  cut 0 untrue 0 failed 0 True
  status 0
  1

They wait for permits, as the servers are limited.

  $ reconnect "$SERVERS"; post /headers "$APPS" '{"Server-Limit": "8"}'; start_routed d5 "$GRACE"; status /find/ok >find.out
  $ stop d5 "$ALL"
  cut 0 untrue 0 failed 0 True
  status 0
  $ post /headers "$APPS" '{}'; sleep 1

They wait for places at brittle servers.

  $ post /slots "$APPS" '{"slots":1,"work_ms":100,"room":20}'; post /brittle "$APPS" '{"n":6,"room":2}'
  $ start_routed d6 "$GRACE"; status /find/ok >find.out; stop d6 "GET:/find/ok:700,1500 POST:/buy/ok:400,900 POST:/long/ok:900,8000"
  cut 0 untrue 0 failed 0 True
  status 0
  $ post /brittle "$APPS" '{}'; post /slots "$APPS" '{"slots":0,"work_ms":0,"room":0}'; sleep 3

They wait for their turn of the retry budget.

  $ start_routed d7 "$GRACE"',"repeat_ratio":0.1,"repeat_slack":1,"repeat_window_s":1'
  $ stop d7 "GET:/find/ok:1500 GET:/find/once-cut:1500 GET:/text/once-die:1500,9000 GET:/text/ok:900 POST:/buy/ok:900"; echo $(($(grep -c '"message":"retry waits"' d7.log) >= 5))
  cut 0 untrue 0 failed 0 True
  status 0
  1

Streams go on, and wait for the record of their version; requests crash servers, and
wait for the checks.

  $ start_routed d8 "$GRACE"; for n in 1 2 3; do operator "{\"key\":\"servers/llm$n\",\"remove\":true}"; start_server new$n llm a engine v2; done; sleep 0.5
  $ stop d8 "GET:/text/ok:900,2000 GET:/text/ok:500,1500 GET:/text/ok:700 GET:/text/slow:2000 GET:/text/once-die:1500,9000 GET:/find/once-ok:900 GET:/find/once-slow:1500 POST:/buy/once-slow:900,5000 GET:/find/once-crash:1500" "store_fault '{\"mode\":\"busy\"}'; sleep 0.6; store_fault '{\"mode\":\"ok\"}'"
  cut 0 untrue 0 failed 0 True
  status 0
  $ grep '^failed\|^cut\|^untrue' stop.err
  [1]
