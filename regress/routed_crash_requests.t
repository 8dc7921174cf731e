Guards against a request that ends each server that begins to run it and comes
again at any daemon: it must not end more than three in the whole fleet.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ start_routed d1; D1=$CALLER_ADDR
  $ start_routed d2; D2=$CALLER_ADDR
  $ crashes() { wc -l <crashes.log; }
  $ up() { for s in app1 app2 app3; do stats $s >/dev/null || return 1; done; }
  $ settle() { await up; sleep 0.8; }

A lookup. The second daemon learns of the crashes from the first one.

  $ for d in $D1 $D2 $D1 $D2 $D1; do CALLER_ADDR=$d status '/look/crash?n=1'; settle; done
  502
  502
  503
  503
  503
  $ crashes
  3
