Guards against a stand-in platform that violates the published protocol:
compare-and-swap, watches, sessions, instance list, weight store, rate limits.

  $ standin-platform --ports-file p.json --list-lag-ms 600 --weights-per-s 0.2 >p.out 2>p.log & P=$!
  $ standin-platform --name p2 --ports-file p2.json --writes-per-s 1 --reads-per-s 1 >p2.out 2>p2.log & P2=$!
  $ for i in $(seq 100); do [ -s p.json ] && [ -s p2.json ] && break; sleep 0.05; done
  $ U=http://127.0.0.1:$(sed 's/[^0-9]//g' p.json) U2=http://127.0.0.1:$(sed 's/[^0-9]//g' p2.json)
  $ get() { curl -sS --max-time 20 "$@"; }
  $ put() { get -X PUT -d "$2" "$U$1"; }
  $ index() { get -o /dev/null -D - "$1" | tr -d '\r' | grep 'HTTP\|X-Consul'; }

Compare-and-swap: index 0 only creates; any other must be that of the key.

  $ index $U/v1/kv/dir/a
  HTTP/1.1 404 Not Found
  X-Consul-Index: 1
  $ put "/v1/kv/dir/a?cas=0" one
  true
  $ put "/v1/kv/dir/a?cas=0" two
  false
  $ get $U/v1/kv/dir/a
  [{"Key":"dir/a","Value":"b25l","ModifyIndex":2}]
  $ put "/v1/kv/dir/a?cas=1" two
  false
  $ put "/v1/kv/dir/a?cas=2" two
  true
  $ get $U/v1/kv/dir/a
  [{"Key":"dir/a","Value":"dHdv","ModifyIndex":3}]
  $ index $U/v1/kv/dir/a
  HTTP/1.1 200 OK
  X-Consul-Index: 3
  $ put "/v1/kv/dir/b" x
  true
  $ get "$U/v1/kv/dir/?keys"
  ["dir/a","dir/b"]
  $ get -X DELETE "$U/v1/kv/dir/b?cas=1"
  false
  $ get -X DELETE "$U/v1/kv/dir/b?cas=4"
  true
  $ get "$U/v1/kv/dir/?keys"
  ["dir/a"]
  $ put "/v1/kv/dir/a?cas=x" two
  {"error":{"message":"cas must be a number","status":400}}
  $ head -c 1048577 /dev/zero >big; get -X PUT --data-binary @big $U/v1/kv/big
  {"error":{"message":"value is larger than 1 MiB","status":413}}
  $ head -c 1048576 /dev/zero >big; get -X PUT --data-binary @big $U/v1/kv/big
  true

A watch responds when its own key changes or when its wait time has passed.

  $ get "$U/v1/kv/dir/a?index=3&wait=10s" >w.txt & W=$!
  $ sleep 0.2; put /v1/kv/dir/c x; sleep 0.2; cat w.txt; put /v1/kv/dir/a three; wait $W; cat w.txt
  true
  true
  [{"Key":"dir/a","Value":"dGhyZWU=","ModifyIndex":8}]
  $ get "$U/v1/kv/dir/a?index=8&wait=200ms"
  [{"Key":"dir/a","Value":"dGhyZWU=","ModifyIndex":8}]
  $ get "$U/v1/kv/dir/a?index=3&wait=10s"
  [{"Key":"dir/a","Value":"dGhyZWU=","ModifyIndex":8}]

A watch of an absent key starts at the index of the 404 response.

  $ index $U/v1/kv/dir/new
  HTTP/1.1 404 Not Found
  X-Consul-Index: 1
  $ get "$U/v1/kv/dir/new?index=1&wait=10s" >w.txt & W=$!
  $ sleep 0.2; put /v1/kv/dir/new x; wait $W; cat w.txt
  true
  [{"Key":"dir/new","Value":"eA==","ModifyIndex":9}]

A session that expires deletes its key, which a watch detects; one without
Behavior delete only releases it. Renewal extends a session, and a held lock
can't be acquired.

  $ session() { put /v1/session/create "$1" | sed 's/.*:"\(.*\)".*/\1/'; }
  $ S=$(session '{"TTL":"6s","Behavior":"delete"}') T=$(session '{"TTL":"40s"}')
  $ put "/v1/kv/lock?acquire=$S" s
  true
  $ put "/v1/kv/lock?acquire=$T" t
  false
  $ put "/v1/kv/kept?acquire=$T" t
  true
  $ sleep 4; put /v1/session/renew/$S | sed "s/$S/S/"
  [{"ID":"S","TTL":"6s"}]
  $ sleep 4; get "$U/v1/kv/lock" | sed "s/$S/S/"
  [{"Key":"lock","Value":"cw==","ModifyIndex":10,"Session":"S"}]
  $ index "$U/v1/kv/lock?index=10&wait=10s"
  HTTP/1.1 404 Not Found
  X-Consul-Index: 12
  $ put /v1/session/renew/$S | sed "s/$S/S/"
  {"error":{"message":"session S not found","status":404}}
  $ put "/v1/kv/lock?acquire=$S" s | sed "s/$S/S/"
  {"error":{"message":"invalid session S","status":500}}
  $ put /v1/session/destroy/$T
  true
  $ get "$U/v1/kv/kept"
  [{"Key":"kept","Value":"dA==","ModifyIndex":13}]

Changes of the instance list become visible after its delay.

  $ put /v1/agent/service/register '{"ID":"e1","Name":"engine","Address":"127.0.0.1","Port":1,"Meta":{"failure_domain":"d1"}}'
  $ get $U/v1/health/service/engine
  []
  $ sleep 0.9; get $U/v1/health/service/engine
  [{"Node":{"Node":"e1"},"Service":{"ID":"e1","Address":"127.0.0.1","Port":1,"Meta":{"failure_domain":"d1"}},"Checks":[{"Status":"passing"}]}]
  $ get $U/v1/health/service/goldcrest
  []
  $ put /v1/agent/service/register '{"ID":"e1","Name":"engine","Address":"127.0.0.1","Port":1,"Meta":{"state":"leaving"}}'
  $ sleep 0.9; get $U/v1/health/service/engine | grep -o '"Meta":[^}]*}'
  "Meta":{"state":"leaving"}
  $ put /v1/agent/service/deregister/e1
  $ sleep 0.9; get $U/v1/health/service/engine
  []

A blocking query of the list ends only when its own service changes.

  $ index=$(get -D - -o /dev/null $U/v1/health/service/engine | tr -d '\r' | sed -n 's/^X-Consul-Index: //p')
  $ get "$U/v1/health/service/engine?index=$index&wait=10s" >blocked & B=$!
  $ put /v1/agent/service/register '{"ID":"s1","Name":"service","Address":"127.0.0.1","Port":1}'
  $ sleep 0.9; kill -0 $B; echo $?
  0
  $ put /v1/agent/service/register '{"ID":"e2","Name":"engine","Address":"127.0.0.1","Port":1}'
  $ wait $B; grep -o '"ID":"e2"' blocked
  "ID":"e2"
  $ get "$U/v1/health/service/engine?index=0&wait=10s" | grep -o '"ID":"e2"'
  "ID":"e2"
  $ put /v1/agent/service/register '{"Name":"engine"}'
  {"error":{"message":"Address must be a string","status":400}}

The weight store and the key-value service limit the rate of requests.

  $ for i in 1 2; do get -D - -o /dev/null -w '%{http_code} %{size_download}\n' $U/weights/m/1 | grep -v 'HTTP\|Date\|Content\|^.$' | tr -d '\r'; done
  200 4096
  Retry-After: 5
  429 57
  $ for i in 1 2; do get -X PUT -w ' %{http_code}\n' -d x $U2/v1/kv/a | tr -d '\n'; echo; done
  true 200
  {"error":{"message":"rate limit exceeded","status":429}} 429
  $ for i in 1 2; do get -o /dev/null -w '%{http_code}\n' $U2/v1/kv/a; done
  200
  429
  $ get $U2/stats
  {"reads":1,"writes":1,"watches":0,"list":0,"refused":2,"registrations":0,"weights":0,"unavailable":0,"lost":0}

  $ kill $P $P2; wait $P; echo $?; wait $P2; echo $?
  0
  0
