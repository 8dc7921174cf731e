Guards against requests that crash servers and go on to do so at newer daemons, as
those believe nothing that a daemon of an older build reports.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ OLD=$("$TOP/regress/old_build.sh" 92654f6 "${OLD_BUILDS-$PWD/old-builds}") && [ -x "$OLD" ]
  $ NEW=$(command -v goldcrestd)
  $ goldcrestd() { [ $USE = old ] && exec "$OLD" "$@"; exec "$NEW" "$@"; }
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ USE=old; start_routed d1; D1=$CALLER_ADDR
  $ USE=new; start_routed d2; D2=$CALLER_ADDR; start_routed d3; D3=$CALLER_ADDR
  $ sleep 1
  $ crashes() { wc -l <crashes.log; }
  $ up() { for s in app1 app2 app3; do stats $s >/dev/null || return 1; done; }
  $ settle() { await up; sleep 0.8; }

A request crashes servers at the old daemon; it is refused at the others. What
another daemon reported at first counts together with their own crashes.

  $ for d in $D1 $D1 $D2 $D3; do CALLER_ADDR=$d status '/look/crash?n=1'; settle; done; crashes
  502
  502
  503
  503
  3
  $ rm crashes.log; for d in $D1 $D2 $D3; do CALLER_ADDR=$d status '/look/crash?n=2'; settle; done; crashes
  502
  502
  503
  3
  $ for d in $D1 $D2 $D3; do CALLER_ADDR=$d status /look/ok; done
  200
  200
  200
