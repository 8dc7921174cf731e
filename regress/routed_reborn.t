Guards against a response without a length that is taken for whole because another start
of its server answers at the address: the server ended with the response, nothing
answered there for a while, and the new start isn't known yet.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"keep","host":"h.example","path_prefix":"/keep/","kind":"non_idempotent","service":"app","max_attempts":1,"timeout_ms":3000,"target_latency_ms":300},
  > {"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":8000},
  > {"name":"gen","host":"h.example","path_prefix":"/gen/","kind":"streaming","service":"gen","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700}'
  $ start_server app1 app a; start_server gen1 gen a engine
  $ start_routed d1
  $ export DEADLINE=9000
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }

A booking ends as one that may have run.

  $ for i in 1 2; do send_request /keep/unframeddark | grep -o '"run":"[a-z_]*"\|^[0-9]*$\|unfr'; sleep 1; done
  "run":"in_doubt"
  502
  "run":"in_doubt"
  502

A lookup is repeated at the new start, a stream goes on there.

  $ send_request /find/once-unframeddark | grep -o '"target": "[^"]*"\|^[0-9]*$\|unfr'
  "target": "/find/once-unframeddark"
  200
  $ send_request /gen/once-plaindark | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A start that has answered at once is told from the one before as well.

  $ grep -c 'another start of the server answered for it' d1.log | awk '{ print ($1 >= 4) }'
  1
