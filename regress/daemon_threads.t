Guards against responses mixed up between callers or threads, against settings
lost on a failed reload, and against a daemon that can't bind its port again.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --slots 50
  $ start_engine e2 --slots 50
  $ start_daemon d1 ',"traffic_threads":4'

40 concurrent callers, each with its own prompt, while the engines have faults.

  $ for kind in gap cut repeat; do
  >   fault $e1_url "{\"fault\":\"$kind\",\"after\":5}"
  >   fault $e2_url "{\"fault\":\"$kind\",\"after\":7}"
  >   callers=
  >   for i in $(seq 40); do
  >     PROMPT="prompt $i of $kind"; stream $d1_url 30 >out.$kind.$i &
  >     callers="$callers $!"
  >   done
  >   wait $callers
  >   for i in $(seq 40); do
  >     PROMPT="prompt $i of $kind"; chain out.$kind.$i
  >   done | sort | uniq -c | sed 's/^ *//'
  > done
  40 whole 30
  40 whole 30
  40 whole 30

SIGHUP loads new operator keys (log event 1004); with invalid settings the old
ones remain (1005).

  $ status_code() { curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $1" $d1_ops/v1/status; }
  $ status_code $OPERATOR_KEY; status_code new-key
  200
  401
  $ sed -i 's/"operator-key"/"new-key"/' d1.json; kill -HUP $d1_pid
  $ await grep -q ' 1004 ' d1.log; status_code $OPERATOR_KEY; status_code new-key
  401
  200
  $ sed -i 's/"heartbeat_ms":100/"heartbeat_ms":0/' d1.json; kill -HUP $d1_pid
  $ await grep -q ' 1005 .*heartbeat_ms: must be' d1.log; status_code new-key
  200

A killed daemon can restart on its port while old connections remain; a second
daemon on the same port doesn't start.

  $ port=${d1_url##*:}
  $ stream $d1_url 1000 >out &
  $ await test -s out; kill_9 $d1_pid
  $ settings d1; sed -i "s/\(\"caller\".*\"port\":\)0/\1$port/" d1.json
  $ rm d1.ports; goldcrestd -f d1.json --ports-file d1.ports 2>d1.log &
  $ pids="$pids $!"; await test -s d1.ports; await ready $d1_url
  $ goldcrestd -f d1.json 2>again.log
  [1]
  $ grep -o "1003 can't start error=\"can't listen on port" again.log
  1003 can't start error="can't listen on port
