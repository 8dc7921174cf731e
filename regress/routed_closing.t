Guards against a whole request that is read and gets neither an answer nor a
refusal, as it came on a connection whose last response had announced the close.
While it is unread, its caller may send it again elsewhere, whatever it does.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config; export DEADLINE=3000
  $ start_server app1 app a; start_server eng1 llm a engine
  $ caller() { "$TOP/regress/caller.py" $CALLER_ADDR "$@"; }
  $ stopping() { start_routed "$1"; eval kill -TERM \$$1_pid; await grep -q '"event":1001' "$1.log"; sleep 0.1; }

A stream announces the close while the daemon stops, and a request comes behind it.

  $ stopping d1
  $ caller head:/draft/slow:s1 begin head:/open/ok:s2 sleep:0.3 unread finish
  200 close
  unread
  whole closed

The same behind a complete response, whose caller doesn't close the connection.

  $ caller head:/open/ok:o1 begin head:/open/ok:o2 sleep:0.3 unread
  200 close
  unread

Both requests that came before the head are served, as ever.

  $ stopping d2
  $ caller head:/open/slow:t1 sleep:0.1 head:/open/ok:t2 read read end
  200
  200 close
  closed
  $ grep -c '^[so]2 ' runs.log; grep -c '^t[12] ' runs.log
  0
  2

A caller that leaves while the daemon holds a request of it unread: the stream ends.

  $ stopping d3
  $ caller head:/draft/mute:g1 begin head:/open/ok:g2 sleep:0.3 unread leave
  200 close
  unread
  $ abandoned() { [ "$(field eng1 abandoned)" != "[]" ]; }
  $ sleep 0.4; abandoned && echo abandoned
  abandoned

A caller that reads slowly gets the whole response although bytes behind it are
unread, which would reset the connection; so does one that closes its sending side.

  $ stopping d4
  $ export RCVBUF=65536
  $ caller head:/draft/big:b1 begin head:/open/ok:b2 take:11000000 sleep:2.3 unread finish
  200 close
  unread
  whole closed
  $ stopping d5
  $ caller head:/draft/big:h1 begin head:/open/ok:h2 take:11000000 sleep:0.3 shut sleep:0.3 finish
  200 close
  whole closed

A body that is refused before its end is read, so that its caller gets the refusal.

  $ unset RCVBUF; start_routed d6
  $ caller head:/open/ok:r1:400000 body:400000 read end
  413 close
  closed
