Guards against calls to the store that grow with the daemons, and against
daemons that keep an old configuration because the one that they ask is gone,
or is cut off from the store.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ for d in d1 d2 d3 d4 d5 d6; do start_routed $d; eval "${d}_front=$FRONT"; done
  $ sleep 2

Two of the six daemons watch the store; the others hear of changes from them.

  $ watches() { curl -s "http://$STORE/stats" | grep -o '"kv-watch": [0-9]*' | tr -dc 0-9; }
  $ BEFORE=$(watches); sleep 4; echo $(($(watches) - BEFORE)) | awk '{ print ($1 <= 14) }'
  1
  $ all() { for d in d1 d2 d3 d4 d5 d6; do eval "FRONT=\${${d}_front}"; status /new/ok; done | sort | uniq -c | awk '{ print $1, $2 }'; }
  $ put_config ',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}'
  $ sleep 1.2; all
  6 200

A watcher is stopped, then the other one is killed: the rest goes on.

  $ kill -STOP $d1_pid; sleep 3
  $ kill -CONT $d1_pid; kill_9 $d2_pid; put_config
  $ sleep 2.5; all
  1 000
  5 404
  $ put_config ',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}'
  $ sleep 1.2; all
  1 000
  5 200
