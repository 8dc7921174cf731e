Guards against a planned stop under load that cuts off requests which were just
accepted. The list of addresses needs no engine.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_daemon o1; start_daemon o2
  $ HEAD='GET /v1/addresses HTTP/1.1\r\nHost: d\r\n'
  $ for i in 1 2; do
  >   eval "pid=\$o${i}_pid url=\$o${i}_url"
  >   "$TOP/regress/stop_load.py" ${url#http://} $pid 16 "$HEAD"
  >   wait $pid; echo "status $?"
  > done
  answered True missed 0
  status 0
  answered True missed 0
  status 0
