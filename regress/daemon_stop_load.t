Guards against a planned stop under load that cuts off requests which were just
accepted. The list of addresses needs no engine.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_daemon o1; start_daemon o2
  $ HEAD='GET /v1/addresses HTTP/1.1\r\nHost: d\r\n'
  $ stop() { eval "pid=\$$1_pid url=\$$1_url"; "$TOP/regress/stop_load.py" ${url#http://} $pid 16 "$HEAD"; wait $pid; echo "status $?"; }
  $ stop o1
  answered True missed 0
  status 0
  $ stop o2
  answered True missed 0
  status 0
