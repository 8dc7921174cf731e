Guards against faults that the stand-in engine does not inject or injects into
the wrong run: failure tests would then pass without a failure.

  $ standin-engine --name e1 --run-base e1 --ports-file e1.json --token-ms 5 >e1.out 2>e1.log & E1=$!
  $ for i in $(seq 100); do [ -s e1.json ] && break; sleep 0.05; done
  $ U=http://127.0.0.1:$(sed 's/[^0-9]//g' e1.json)
  $ get() { curl -sSN --max-time 20 "$@"; }
  $ fault() { get -d "$1" $U/faults; }
  $ run() { get -d '{"prompt":"how do I book a sofa","max_tokens":4}' $U/v1/runs; }

A repeated token, then a run without a fault:

  $ fault '{"fault":"repeat","after":1}'
  {"ok":true}
  $ run | grep id:
  id: 0
  id: 1
  id: 1
  id: 2
  id: 3
  $ run | grep id:
  id: 0
  id: 1
  id: 2
  id: 3

A gap in the offsets of the stream; the run itself has the token:

  $ fault '{"fault":"gap","after":1}'
  {"ok":true}
  $ run | grep id:
  id: 0
  id: 2
  id: 3
  $ get "$U/v1/runs/e1-3/stream?from=0" | grep id:
  id: 0
  id: 1
  id: 2
  id: 3

A token of another run:

  $ fault '{"fault":"foreign","after":2}'
  {"ok":true}
  $ run | grep '"t"' | sed 's/[^"]*"t":"[^:]*:\([^:]*\):.*/\1/'
  e1-4
  e1-4
  other-000000-1
  e1-4

Malformed events from an offset on:

  $ fault '{"fault":"garbage","after":3}'
  {"ok":true}
  $ run | tail -6
  id: x%
  data: {"t":garbage
  
  event: end
  data: {"reason":"length","tokens":4}
  

A closed connection; the run continues and can be attached to:

  $ fault '{"fault":"cut","after":2}'
  {"ok":true}
  $ run >cut.txt
  curl: (18) transfer closed with outstanding read data remaining
  [18]
  $ grep id: cut.txt
  id: 0
  id: 1
  $ get "$U/v1/runs/e1-6/stream?from=2" | grep id:
  id: 2
  id: 3

A closed connection and a deleted run:

  $ fault '{"fault":"cut","after":2,"lose_run":true}'
  {"ok":true}
  $ run >cut.txt
  curl: (18) transfer closed with outstanding read data remaining
  [18]
  $ get "$U/v1/runs/e1-7/stream?from=2"
  {"error":{"message":"run e1-7 not found","status":404}}

A freeze in the next run after two tokens; other requests get no response
either:

  $ fault '{"fault":"freeze","after":2,"ms":2000}'
  {"ok":true}
  $ run >frozen.txt & R=$!
  $ sleep 0.4; grep id: frozen.txt
  id: 0
  id: 1
  $ curl -s --max-time 0.2 $U/v1/load; echo $?
  28
  $ wait $R; grep id: frozen.txt
  id: 0
  id: 1
  id: 2
  id: 3

An immediate freeze:

  $ fault '{"fault":"freeze","ms":1000}'
  {"ok":true}
  $ curl -s --max-time 0.2 $U/v1/load; echo $?
  28
  $ run | grep -c id:
  4

The log has the freeze, and a cancel with the time for which it was held:

  $ get -d '{"prompt":"a","max_tokens":100000}' $U/v1/runs >held.txt & R=$!
  $ for i in $(seq 100); do grep -q id: held.txt && break; sleep 0.05; done
  $ fault '{"fault":"freeze","ms":500}'
  {"ok":true}
  $ get -X DELETE "$U/v1/runs/e1-10?attach=1"; wait $R
  {"cancelled":true}
  $ grep -c ' 1703 frozen ms=500$' e1.log
  1
  $ sed -n 's/.* 1704 run cancelled run=\(.*\) held_ms=[1-9][0-9]*$/\1 was held/p' e1.log
  e1-10 was held

A limited number of refusals:

  $ fault '{"fault":"refuse","count":2,"retry_after_s":3}'
  {"ok":true}
  $ for i in 1 2 3; do get -o /dev/null -D - -d '{"prompt":"a","max_tokens":1}' $U/v1/runs | tr -d '\r' | grep -i '^HTTP\|^Retry'; done
  HTTP/1.1 503 Service Unavailable
  Retry-After: 3
  HTTP/1.1 503 Service Unavailable
  Retry-After: 3
  HTTP/1.1 200 OK

  $ fault '{"fault":"refuse","count":9}'
  {"ok":true}
  $ fault '{"fault":"clear"}'
  {"ok":true}
  $ run | grep -c id:
  4
  $ fault '{"fault":"none"}'
  {"error":{"message":"unknown fault","status":400}}
  $ fault 'x'
  {"error":{"message":"invalid JSON in request body: '[' or '{' expected near 'x'","status":400}}

  $ kill $E1; wait $E1; echo $?
  0
