Guards against a server that has left or a key that was withdrawn being in use
again after a restart, while the store is away and another daemon still has the
old state.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ start_routed d1; D1=$CALLER_ADDR
  $ start_routed d2; D2=$CALLER_ADDR D2_CONTROL=$CONTROL_ADDR
  $ at() { local CALLER_ADDR=$1; shift; status "$@"; }
  $ AUTH=' Token key-2' at $D1 /look/ok; AUTH=' Token key-2' at $D2 /look/ok
  200
  200

The store is silent to the daemons; meanwhile key-2 is withdrawn and app1 leaves.

  $ store_fault '{"mode":"reset"}'; sleep 0.2
  $ put_config '' ''
  $ operator '{"key":"servers/app1","remove":true}'
  $ kill_9 $d2_pid; goldcrestd -f d2.json >d2b.log 2>&1 & pids="$pids $!"; d2_pid=$!
  $ sleep 1

The restarted daemon knows nothing that it could confirm, and doesn't take it
from the other one, which still has the old state.

  $ RUNS=$(field app1 runs | wc -c)
  $ AUTH=' Token key-2' at $D2 /look/ok; at $D2 /look/ok; at $D2 /book/ok
  503
  503
  503
  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$D2_CONTROL/v1/ready"
  503
  $ echo $(($(field app1 runs | wc -c) - RUNS))
  0

Once the store is back, neither is in use at any daemon.

  $ store_fault '{"mode":"ok"}'
  $ CONTROL_ADDR=$D2_CONTROL await ready
  $ sleep 2.6; RUNS=$(field app1 runs | wc -c)
  $ AUTH=' Token key-2' at $D1 /look/ok; AUTH=' Token key-2' at $D2 /look/ok
  401
  401
  $ for i in 1 2 3 4; do at $D1 /look/ok; at $D2 /look/ok; done | sort | uniq -c | awk '{ print $1, $2 }'
  8 200
  $ echo $(($(field app1 runs | wc -c) - RUNS))
  0
