Guards against a stand-in backend server that does not count a repeated action
or does not inject a requested fault: failure tests would then pass without a
failure.

  $ standin-backend --name b1 --ports-file b1.json --check-fencing >b1.out 2>b1.log & B1=$!
  $ standin-backend --name b2 --ports-file b2.json --delay-ms 1000 --log-json >b2.out 2>b2.log & B2=$!
  $ for i in $(seq 100); do [ -s b1.json ] && [ -s b2.json ] && break; sleep 0.05; done
  $ sed 's/[0-9][0-9]*$/PORT/' b1.out
  standin-backend: b1 listens on 127.0.0.1:PORT
  $ U1=http://127.0.0.1:$(sed 's/[^0-9]//g' b1.json) U2=http://127.0.0.1:$(sed 's/[^0-9]//g' b2.json)
  $ get() { curl -sS --max-time 20 "$@"; }
  $ book() { get -H "Idempotency-Key: $1" -d '{"item":"sofa"}' $U1/bookings; }
  $ fault() { get -d "$1" $U1/faults; }

Each request performs an action, also a second one with the same key.

  $ get $U1/status/k1
  {"state":"unknown","effects":0}
  $ book k1
  {"state":"done","path":"/bookings","key":"k1","effect":1}
  $ book k1
  {"state":"done","path":"/bookings","key":"k1","effect":2}
  $ get -H 'Idempotency-Key: k2' -d '{}' $U1/releases
  {"state":"done","path":"/releases","key":"k2","effect":3}
  $ get -d '{}' $U1/releases
  {"state":"done","path":"/releases","effect":4}
  $ get $U1/status/k1
  {"state":"done","effects":2}
  $ get $U1/effects
  {"keys":{"k1":2,"k2":1},"without_key":1,"total":4}
  $ get $U1/bookings
  {"error":{"message":"no such path: /bookings","status":404}}

Closed connections before and after the action, a refusal, a delay.

  $ fault '{"fault":"cut_before"}'
  {"ok":true}
  $ book k3
  curl: (52) Empty reply from server
  [52]
  $ get $U1/status/k3
  {"state":"unknown","effects":0}
  $ fault '{"fault":"cut_after","count":2}'
  {"ok":true}
  $ book k4
  curl: (52) Empty reply from server
  [52]
  $ book k4
  curl: (52) Empty reply from server
  [52]
  $ get $U1/status/k4
  {"state":"done","effects":2}
  $ book k4
  {"state":"done","path":"/bookings","key":"k4","effect":7}
  $ fault '{"fault":"refuse","retry_after_s":7}'
  {"ok":true}
  $ get -D - -o /dev/null -d x $U1/bookings | tr -d '\r' | grep 'HTTP\|Retry'
  HTTP/1.1 503 Service Unavailable
  Retry-After: 7
  $ fault '{"fault":"delay","ms":1200}'
  {"ok":true}
  $ curl -s --max-time 0.4 -H 'Idempotency-Key: k5' -d x $U1/bookings; echo $?
  28
  $ get $U1/status/k5
  {"state":"unknown","effects":0}
  $ sleep 1.2; get $U1/status/k5
  {"state":"done","effects":1}
  $ fault '{"fault":"cut_after","count":9}'
  {"ok":true}
  $ fault '{"fault":"clear"}'
  {"ok":true}
  $ book k6
  {"state":"done","path":"/bookings","key":"k6","effect":9}
  $ fault '{"fault":"none"}'
  {"error":{"message":"unknown fault","status":400}}

With --check-fencing, an action with a stale fencing token is refused and not
performed; the other server ignores the token.

  $ for u in $U1 $U2; do for t in 5 4 5; do get -w ' %{http_code}\n' -o /dev/null -H "Fencing-Token: $t" -H "Idempotency-Key: f$t" -d x $u/bookings; done; get $u/status/f4; done
   201
   409
   201
  {"state":"unknown","effects":0}
   201
   201
   201
  {"state":"done","effects":1}
  $ get -H 'Fencing-Token: x' -d x $U1/bookings
  {"error":{"message":"Fencing-Token must be a number","status":400}}

An in-flight request completes after SIGTERM.

  $ get -H 'Idempotency-Key: last' -d x $U2/bookings >last.txt & C=$!
  $ sleep 0.4; kill $B1 $B2; wait $B1; echo $?; wait $B2; echo $?
  0
  0
  $ wait $C; cat last.txt
  {"state":"done","path":"/bookings","key":"last","effect":4}
  $ grep -c '"event": *1701' b2.log
  1
