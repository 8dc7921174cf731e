Guards against faults that the stand-in platform does not inject: failure tests
would then pass without a failure.

  $ standin-platform --ports-file p.json --list-lag-ms 0 >p.out 2>p.log & P=$!
  $ for i in $(seq 100); do [ -s p.json ] && break; sleep 0.05; done
  $ U=http://127.0.0.1:$(sed 's/[^0-9]//g' p.json)
  $ get() { curl -sS --max-time 20 "$@"; }
  $ put() { get -X PUT -d "$2" "$U$1"; }
  $ fault() { get -d "$1" $U/faults; }

The response to an applied write is lost; a rejected write and a read get their
responses.

  $ put /v1/kv/a one
  true
  $ fault '{"fault":"lose"}'
  {"ok":true}
  $ put "/v1/kv/a?cas=0" two
  false
  $ get $U/v1/kv/a
  [{"Key":"a","Value":"b25l","ModifyIndex":2}]
  $ put "/v1/kv/a?cas=2" two
  curl: (52) Empty reply from server
  [52]
  $ get $U/v1/kv/a
  [{"Key":"a","Value":"dHdv","ModifyIndex":3}]
  $ put "/v1/kv/a?cas=3" three
  true

During an outage, requests get status 503 or a closed connection; watches end,
too.

  $ get "$U/v1/kv/a?index=4&wait=10s" >w.txt & W=$!
  $ sleep 0.2; fault '{"fault":"outage","ms":1500}'
  {"ok":true}
  $ wait $W; cat w.txt
  {"error":{"message":"unavailable","status":503}}
  $ put /v1/kv/a four
  {"error":{"message":"unavailable","status":503}}
  $ get $U/v1/health/service/engine
  []
  $ sleep 1.6; get $U/v1/kv/a
  [{"Key":"a","Value":"dGhyZWU=","ModifyIndex":4}]
  $ fault '{"fault":"outage","ms":60000,"cut":true}'
  {"ok":true}
  $ get $U/v1/kv/a
  curl: (52) Empty reply from server
  [52]
  $ fault '{"fault":"clear"}'
  {"ok":true}
  $ get $U/v1/kv/a
  [{"Key":"a","Value":"dGhyZWU=","ModifyIndex":4}]

A session expires during an outage.

  $ S=$(put /v1/session/create '{"TTL":"1s","Behavior":"delete"}' | sed 's/.*:"\(.*\)".*/\1/')
  $ put "/v1/kv/lock?acquire=$S" s
  true
  $ fault '{"fault":"outage","ms":1500}'
  {"ok":true}
  $ sleep 1.6; get -w '%{http_code}\n' $U/v1/kv/lock
  404

A delay defers requests; a write whose client has timed out is applied later.

  $ fault '{"fault":"delay","ms":1200}'
  {"ok":true}
  $ curl -s --max-time 0.4 -X PUT -d late $U/v1/kv/b; echo $?
  28
  $ fault '{"fault":"clear"}'
  {"ok":true}
  $ get -w '%{http_code}\n' $U/v1/kv/b
  404
  $ sleep 1.2; get $U/v1/kv/b
  [{"Key":"b","Value":"bGF0ZQ==","ModifyIndex":7}]

With "answers", a write is applied at once and only its response is delayed.

  $ fault '{"fault":"delay","ms":1200,"answers":true,"for_ms":10000}'
  {"ok":true}
  $ curl -s --max-time 0.4 -X PUT -d early $U/v1/kv/b; echo $?
  28
  $ get $U/v1/kv/b
  [{"Key":"b","Value":"ZWFybHk=","ModifyIndex":8}]
  $ fault '{"fault":"clear"}'
  {"ok":true}

Changes of the instance list become visible after a delay.

  $ fault '{"fault":"list_lag","ms":600}'
  {"ok":true}
  $ put /v1/agent/service/register '{"ID":"e1","Name":"engine","Address":"127.0.0.1","Port":1}'
  $ get $U/v1/health/service/engine
  []
  $ sleep 0.9; get $U/v1/health/service/engine
  [{"Node":{"Node":"e1"},"Service":{"ID":"e1","Address":"127.0.0.1","Port":1,"Meta":{}},"Checks":[{"Status":"passing"}]}]

  $ fault '{"fault":"none"}'
  {"error":{"message":"unknown fault","status":400}}
  $ get $U/stats
  {"reads":8,"writes":8,"watches":1,"list":3,"refused":0,"registrations":1,"weights":0,"unavailable":2,"lost":1}

SIGTERM ends the watches and the process exits at once.

  $ get "$U/v1/kv/a?index=9&wait=60s" >w.txt & W=$!
  $ sleep 0.2; kill $P; wait $P; echo $?
  0
  $ wait $W; cat w.txt
  {"error":{"message":"unavailable","status":503}}
