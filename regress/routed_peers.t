Guards against a load on the store that grows with the number of daemons, and
against daemons that keep an old configuration because the daemon through which
they watch the store has failed or lost its connection to the store.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ for d in d1 d2 d3 d4 d5 d6; do start_routed $d; eval "${d}_addr=$CALLER_ADDR"; done
  $ sleep 2
  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$PEER_ADDR/peer/changes?xafter=1&wait_ms=1"
  400

Two of the six daemons watch the store; the others get changes from them.

  $ watch_calls() { curl -s "http://$STORE/stats" | grep -o '"kv-watch": [0-9]*' | tr -dc 0-9; }
  $ BEFORE=$(watch_calls); sleep 4; echo $(($(watch_calls) - BEFORE)) | awk '{ print ($1 <= 14) }'
  1
  $ statuses() { for d in d1 d2 d3 d4 d5 d6; do eval "CALLER_ADDR=\${${d}_addr}"; status /new/ok; done | sort | uniq -c | awk '{ print $1, $2 }'; }
  $ put_config ',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}'
  $ sleep 1.2; statuses
  6 200

A notice on a crash reaches all of them within 1.2 s, and a daemon that starts
later in its first list; an invalid one is logged.

  $ operator '{"key":"goldcrest/crashed/d9/0","value":"no report"}'
  $ sleep 1.2; grep -l '"event": *1609' d[1-6].log | wc -l
  6
  $ start_routed d7; grep '"event": *1609' d7.log | grep -c '"goldcrest/crashed/d9/0"'
  1
  $ kill_9 $d7_pid

One watcher is stopped for a while, then the other one is killed: the remaining
daemons still apply changes.

  $ kill -STOP $d1_pid; sleep 3
  $ kill -CONT $d1_pid; kill_9 $d2_pid; put_config
  $ sleep 2.5; statuses
  1 000
  5 404
  $ put_config ',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}'
  $ sleep 1.2; statuses
  1 000
  5 200
