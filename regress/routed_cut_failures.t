Guards against a server's failure without a length that its crash cuts short, and that
comes to the caller as a whole answer: only the ends of successes were checked.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config; start_server app1 app a; start_server app2 app b
  $ start_routed d1
  $ restarted() { sleep 3; for i in 1 2 3 4; do await test "$(status /look/ok)" = 200; done; }

Whole ones are forwarded.

  $ for s in 409 500; do send_request /book/unframed$s; done
  unframed
  409
  unframed
  500
  $ send_request /look/unframed409
  unframed
  409

A booking isn't repeated: its caller is told that it may have run. A lookup is.

  $ for s in 409 500; do status /book/unframeddie$s; restarted; done
  502
  502
  $ for s in 409 500; do send_request /look/once-unframeddie$s | grep -o '200$'; restarted; done
  200
  200

A lookup whose both servers crash so.

  $ send_request /look/unframeddie409 | grep -c unfr; restarted; send_request /look/unframeddie500 | grep -c unfr
  0
  0
  [1]
