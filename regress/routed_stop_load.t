Guards against a planned stop under load that cuts off requests which were just
accepted, or whose body is half read.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"

  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ HEAD='POST /look/ok HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nGoldcrestfield-Request-Id: @\r\nGoldcrestfield-Deadline-Ms: 3000\r\n'
  $ stop() { start_routed $1; eval "pid=\$$1_pid"; "$TOP/regress/stop_load.py" $CALLER_ADDR $pid $2 "$HEAD" '{"item":"sofa"}'; wait $pid; echo "status $?"; }
  $ stop d1 16
  answered True missed 0
  status 0
  $ stop d2 16
  answered True missed 0
  status 0
  $ stop d3 16
  answered True missed 0
  status 0

More callers, half of which open a connection for each request: none is reset that
was established before the listener closed.

  $ stop d4 60
  answered True missed 0
  status 0
  $ stop d5 60
  answered True missed 0
  status 0
  $ stop d6 60
  answered True missed 0
  status 0
