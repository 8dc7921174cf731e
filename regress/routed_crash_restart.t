Guards against crashes that are forgotten because the server, started again, answers
at its address before the daemons have its new entry: the request that causes them
goes on to crash servers.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b
  $ start_forwarding 1; start_forwarding 2; await knows_daemons 2
  $ at() { eval "CALLER_ADDR=\$d$1_caller"; shift; "$@"; }
  $ crashes() { cat crashes.log 2>/dev/null | wc -l; }
  $ answers() { [ "$(at 1 status /look/ok)" = 200 ]; }
  $ entered() { [ "$(grep -c '"message":"backend server ready"' d1.log)" = "$1" ]; }

Both servers crash one after the other under a request. They answer again while the
store can't be read, and are listed anew after that.

  $ deadly() { at 1 status /look/ok -d 'crash it'; }
  $ deadly; crashes; sleep 0.5; store_fault '{"mode": "silent"}'
  502
  2
  $ await answers; for i in $(seq 8); do at 1 status /look/ok; at 2 status /look/ok; done | sort | uniq -c | tr -s ' '
   16 200
  $ store_fault '{"mode": "ok"}'; await entered 4; sleep 0.5

A third crash is the last one.

  $ deadly; crashes; sleep 3
  502
  3
  $ for d in 1 2; do at $d status /look/ok -d 'crash it'; done; crashes
  503
  503
  3
