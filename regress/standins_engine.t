Guards against a stand-in engine that violates the engine protocol: token
hashes, offsets, attach, cancel, priorities, prefix cache, load, orders.

  $ standin-engine --name e1 --run-base e1 --ports-file e1.json --token-ms 5 --slots 1 --block-tokens 2 --load-lag-ms 0 --cache-event-lag-ms 300 --cache-event-loss 3 --check-fencing >e1.out 2>e1.log & E1=$!
  $ standin-engine --name e2 --run-base e2 --ports-file e2.json --token-ms 1 --retain-ms 200 --load-lag-ms 1000 >e2.out 2>e2.log & E2=$!
  $ for i in $(seq 100); do [ -s e1.json ] && [ -s e2.json ] && break; sleep 0.05; done
  $ sed 's/[0-9][0-9]*$/PORT/' e1.out
  standin-engine: e1 listens on 127.0.0.1:PORT
  $ port() { sed 's/[^0-9]//g' $1; }
  $ U1=http://127.0.0.1:$(port e1.json) U2=http://127.0.0.1:$(port e2.json)
  $ get() { curl -sSN --max-time 20 "$@"; }
  $ await() { for i in $(seq 200); do grep -qs "$1" $2 && return; sleep 0.05; done; echo no $1; }

The tokens are those that check_chain verifies; e2 continues after a prefix.

  $ get -d '{"request":"r1","model":"m","prompt":"how do I book a sofa","max_tokens":3}' $U1/v1/runs
  event: run
  data: {"run":"e1-1","attach":1,"offset":0,"cached":0}
  
  id: 0
  data: {"t":"pensiwn:e1-1:86699583 ","run":"e1-1"}
  
  id: 1
  data: {"t":"lwfans:e1-1:598074ce ","run":"e1-1"}
  
  id: 2
  data: {"t":"wardrobe:e1-1:0a717f1e ","run":"e1-1"}
  
  event: end
  data: {"reason":"length","tokens":3}
  
  $ get -d '{"prompt":"how do I book a sofa","max_tokens":6,"prefix":["pensiwn:e1-1:86699583 ","lwfans:e1-1:598074ce ","wardrobe:e1-1:0a717f1e "]}' $U2/v1/runs
  event: run
  data: {"run":"e2-1","attach":1,"offset":3,"cached":0}
  
  id: 3
  data: {"t":"payslip:e2-1:ae9150be ","run":"e2-1"}
  
  id: 4
  data: {"t":"blwyddyn:e2-1:b786c978 ","run":"e2-1"}
  
  id: 5
  data: {"t":"pension:e2-1:45af064f ","run":"e2-1"}
  
  event: end
  data: {"reason":"length","tokens":6}
  

An attached stream starts at the requested offset, also within the prefix.

  $ get "$U1/v1/runs/e1-1/stream?from=2"
  event: run
  data: {"run":"e1-1","attach":2,"offset":2,"cached":0,"request":{"request":"r1","model":"m","prompt":"how do I book a sofa","max_tokens":3}}
  
  id: 2
  data: {"t":"wardrobe:e1-1:0a717f1e ","run":"e1-1"}
  
  event: end
  data: {"reason":"length","tokens":3}
  
  $ get "$U2/v1/runs/e2-1/stream?from=2" | grep id:
  id: 2
  id: 3
  id: 4
  id: 5
  $ get "$U1/v1/runs/e1-1/stream?from=4"
  {"error":{"message":"from 4 is greater than the number of tokens, which is 3","status":400}}
  $ get "$U1/v1/runs/none/stream?from=0"
  {"error":{"message":"run none not found","status":404}}

The same prompt hits the prefix cache: three blocks of two tokens.

  $ get -d '{"prompt":"how do I book a sofa","max_tokens":1}' $U1/v1/runs | grep cached
  data: {"run":"e1-2","attach":1,"offset":0,"cached":6}
  $ get $U1/v1/stats
  {"prefilled":6,"cached":6,"decoded":4,"runs":2,"cancelled":0,"expired":0,"refused":0}

Cache events are delayed, and every third one is omitted.

  $ sleep 0.4; get $U1/v1/cache_events | grep -o '"seq":[0-9]*,"type":"[a-z]*"' | head -4
  "seq":0,"type":"stored"
  "seq":1,"type":"stored"
  "seq":3,"type":"stored"
  $ get "$U1/v1/cache_events?from=4" | grep -c '"seq":[0-3],'
  0
  [1]

A new attach ends the previous stream, whose attach number can no longer cancel
the run.

  $ get -d '{"prompt":"long","max_tokens":1000}' $U1/v1/runs >old.txt & C=$!
  $ await id: old.txt; get "$U1/v1/runs/e1-3/stream?from=0" >new.txt & D=$!
  $ wait $C; grep -c 'event: end' old.txt
  0
  [1]
  $ get -X DELETE "$U1/v1/runs/e1-3?attach=1"
  {"error":{"message":"attach 1 is not the latest, which is 2","status":409}}
  $ get $U1/v1/load | sed 's/"at_ms":[0-9]*/"at_ms":T/'
  {"running":1,"queued":0,"slots":1,"at_ms":T}
  $ get -X DELETE "$U1/v1/runs/e1-3?attach=2"
  {"cancelled":true}
  $ wait $D; grep attach new.txt
  data: {"run":"e1-3","attach":2,"offset":0,"cached":0,"request":{"prompt":"long","max_tokens":1000}}
  $ get -X DELETE "$U1/v1/runs/e1-3?attach=2"
  {"error":{"message":"run e1-3 not found","status":404}}

With one slot, a run of higher priority starts before one queued earlier. A
queued run's stream gets keep-alive comments.

  $ get -d '{"prompt":"a","max_tokens":260}' $U1/v1/runs >a.txt & A=$!
  $ await run a.txt; get -d '{"prompt":"b","max_tokens":1,"priority":1}' $U1/v1/runs >b.txt & B=$!
  $ await run b.txt; get -d '{"prompt":"c","max_tokens":200,"priority":2}' $U1/v1/runs >c.txt & C=$!
  $ await run c.txt; get $U1/v1/load | sed 's/"at_ms":[0-9]*/"at_ms":T/'
  {"running":1,"queued":2,"slots":1,"at_ms":T}
  $ await id: c.txt; grep -c id: b.txt
  0
  [1]
  $ wait $C
  $ wait $A $B; grep -c waiting b.txt | sed 's/[1-9]/some/'
  some

A run without a stream is deleted after the retention time.

  $ curl -sN --max-time 0.5 -d '{"prompt":"gone","max_tokens":100000}' $U2/v1/runs >gone.txt
  [28]
  $ await run gone.txt; sleep 1; get "$U2/v1/runs/e2-2/stream"
  {"error":{"message":"run e2-2 not found","status":404}}
  $ get $U2/v1/stats | grep -o '"expired":1'
  "expired":1

Load reports are delayed.

  $ sleep 1.1; get -d '{"prompt":"lag","max_tokens":100000}' $U2/v1/runs >lag.txt & C=$!
  $ await run lag.txt; get $U2/v1/load | grep -o '"running":[01]'
  "running":0
  $ sleep 1.1; get $U2/v1/load | grep -o '"running":[01]'
  "running":1
  $ get -X DELETE "$U2/v1/runs/e2-3?attach=1"; wait $C
  {"cancelled":true}

An order with a stale fencing token is refused with --check-fencing and accepted
without it.

  $ for u in $U1 $U2; do for f in 5 4 5; do get -d "{\"order\":\"load\",\"model\":\"m\",\"fence\":$f}" $u/v1/orders; done; done
  {"accepted":true}
  {"error":{"message":"fence 4 is lower than 5","status":409}}
  {"accepted":true}
  {"accepted":true}
  {"accepted":true}
  {"accepted":true}
  $ get -d '{"order":"load"}' $U1/v1/orders
  {"error":{"message":"an order needs order (string) and fence (number)","status":400}}
  $ get $U1/v1/orders
  [{"order":"load","model":"m","fence":5},{"order":"load","model":"m","fence":5}]

Invalid request bodies.

  $ for b in '' '[]' '{' '{"prompt":1}' '{"prompt":"a"}' '{"prompt":"a","max_tokens":0}' '{"prompt":"a","max_tokens":1,"prefix":[1]}' '{"prompt":"a","max_tokens":1,"prefix":["a","b"]}' '{"prompt":"a","max_tokens":1,"priority":"x"}'; do get -w '%{http_code}\n' -d "$b" $U1/v1/runs; done
  {"error":{"message":"invalid JSON in request body: '[' or '{' expected near end of file","status":400}}
  400
  {"error":{"message":"request body must be a JSON object","status":400}}
  400
  {"error":{"message":"invalid JSON in request body: string or '}' expected near end of file","status":400}}
  400
  {"error":{"message":"prompt must be a string","status":400}}
  400
  {"error":{"message":"max_tokens must be an integer from 1 to 1000000","status":400}}
  400
  {"error":{"message":"max_tokens must be an integer from 1 to 1000000","status":400}}
  400
  {"error":{"message":"prefix must be an array of strings","status":400}}
  400
  {"error":{"message":"prefix is longer than max_tokens","status":400}}
  400
  {"error":{"message":"priority must be an integer","status":400}}
  400

  $ kill $E1 $E2; wait $E1; echo $?; wait $E2; echo $?
  0
  0
