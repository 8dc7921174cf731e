Guards against a planned stop under load that cuts off requests which were just
accepted, or whose body is half read.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"

  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ HEAD='POST /look/ok HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nGoldcrestfield-Request-Id: @\r\nGoldcrestfield-Deadline-Ms: 3000\r\n'
  $ for i in 1 2 3; do
  >   start_routed d$i; eval "pid=\$d${i}_pid"
  >   "$TOP/regress/stop_load.py" $CALLER_ADDR $pid 16 "$HEAD" '{"item":"sofa"}'
  >   wait $pid; echo "status $?"
  > done
  answered True missed 0
  status 0
  answered True missed 0
  status 0
  answered True missed 0
  status 0

More callers, half of which open a connection for each request: none is reset that
was established before the listener closed.

  $ for i in 4 5 6; do
  >   start_routed d$i; eval "pid=\$d${i}_pid"
  >   "$TOP/regress/stop_load.py" $CALLER_ADDR $pid 60 "$HEAD" '{"item":"sofa"}'
  >   wait $pid
  > done
  answered True missed 0
  answered True missed 0
  answered True missed 0
