Guards against requests and queries to servers that have refused one with 503 and
Retry-After, before that time is over.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ repeat() { local n=$1; shift; for i in $(seq $n); do "$@"; done | sort | uniq -c | sed 's/^ *//'; }
  $ busy() { local s=$1; shift; curl -s "http://127.0.0.1:$(cat $s.ports)/busy" -d "$*" >/dev/null; }
  $ requests() { echo $(($(field app1 requests) + $(field app2 requests))); }
  $ queries() { echo $(($(field llm1 queries) + $(field llm2 queries))); }
  $ now() { date +%s.%N; }
  $ left() { awk "BEGIN { print $1 - ($3 - $2) + $4 }"; }
  $ retry_after() { grep -i -o 'retry-after: [0-9.]*' head.txt | awk "{ print (\$2 >= $1 && \$2 <= $2) }"; }

What isn't a time is ignored: both servers go on to get requests.

  $ for value in 0 abc -1 1e9 'Wed, 21 Oct 2026 07:28:00 GMT'; do
  >   for s in app1 app2; do busy $s "{\"retry_after\": \"$value\"}"; done
  >   echo $(status /look/busy) $(status /look/busy) $(status /look/ok)
  > done
  503 503 200
  503 503 200
  503 503 200
  503 503 200
  503 503 200
  $ grep '"event":1119' d1.log | grep -o '"header":"[^"]*","value":"[^"]*"' | sort -u
  "header":"Retry-After","value":"-1"
  "header":"Retry-After","value":"1e9"
  "header":"Retry-After","value":"Wed, 21 Oct 2026 07:28:00 GMT"
  "header":"Retry-After","value":"abc"
  $ for s in app1 app2; do busy $s "{}"; done; echo $(status /look/busy) $(status /look/ok)
  503 200

One server wants nothing for 1.5 s: the refused request and the next ones go to
the other server, and it gets requests again afterwards.

  $ busy app1 '{"retry_after": "1.5"}'; busy app2 '{"retry_after": "0"}'
  $ BEFORE=$(field app1 requests); status /look/busy; repeat 20 status /look/ok
  503
  20 200
  $ echo $(($(field app1 requests) - BEFORE))
  1
  $ sleep 1.8; repeat 20 status /look/ok; echo $(($(field app1 requests) - BEFORE > 2))
  20 200
  1

Both want nothing: requests are refused with the time that is left.

  $ busy app1 '{"retry_after": "4"}'; busy app2 '{"retry_after": "5"}'; ASKED=$(now); status /look/busy; TOLD=$(now)
  503
  $ BEFORE=$(requests); sleep 0.5; AGAIN=$(now)
  $ send_request /look/ok -D head.txt -o /dev/null; retry_after $(left 4 $ASKED $(now) 0) $(left 4 $TOLD $AGAIN 0.6)
  503
  1
  $ send_request /book/ok | grep -o not_run
  not_run
  $ repeat 9 status /book/ok; echo $(($(requests) - BEFORE))
  9 503
  0

A new incarnation is free of it; the other server follows after its time.

  $ start_server app3 app a; sleep 0.3; repeat 3 status /look/ok; echo $(($(requests) - BEFORE))
  3 200
  0
  $ sleep 4; kill $app3_pid; operator '{"key":"servers/app3","remove":true}'; sleep 0.3; repeat 9 status /look/ok
  9 200

Streams: a server refuses load queries, and gets neither queries nor streams.

  $ busy llm1 '{"retry_after": "1.5", "queries": true}'; status /draft/ok
  200
  $ BEFORE=$(field llm1 queries); RUNS=$(field llm1 requests); repeat 3 send_request /draft/ok -o /dev/null
  3 200
  $ echo $(($(field llm1 queries) - BEFORE)) $(($(field llm1 requests) - RUNS))
  0 0

Both do: streams are refused without the wait of 250 ms for a server.

  $ busy llm2 '{"retry_after": "1.5"}'; sleep 1.5; busy llm2 '{"retry_after": "1.5", "queries": true}'; ASKED=$(now); status /draft/ok; TOLD=$(now)
  503
  $ BEFORE=$(queries); AGAIN=$(now); send_request /draft/ok -D head.txt -w '%{http_code} %{time_total}\n' -o /dev/null | awk '{ print $1, ($2 < 0.15) }'; retry_after $(left 1.5 $ASKED $(now) 0) $(left 1.5 $TOLD $AGAIN 0.6)
  503 1
  1
  $ repeat 5 status /draft/ok; echo $(($(queries) - BEFORE))
  5 503
  0
  $ for s in llm1 llm2; do busy $s '{}'; done; sleep 1.8; send_request /draft/ok | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A running stream goes on while its server and the holder of its copy want nothing
new: no copy to the third server is ordered before the end of that time.

  $ start_server llm3 llm c engine; sleep 0.3
  $ attempt() { grep '"message":"attempt started"' d1.log | tail -n 1 | grep -o "\"$1\":\"[a-z0-9]*\"" | cut -d'"' -f4; }
  $ (send_request /draft/steady >steady.out) & steady_pid=$!; sleep 0.5
  $ RUN=$(attempt server); COPY=$(attempt copy)
  $ for s in $RUN $COPY; do busy $s '{"retry_after": "3", "queries": true}'; done; status /draft/ok
  200
  $ BEFORE=$(($(field $RUN queries) + $(field $COPY queries))); wait $steady_pid; ids <steady.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ echo $(($(field $RUN queries) + $(field $COPY queries) - BEFORE)) $(field $RUN orders)
  0 []

A long time counts as it is, up to the daemon's setting. A server that starts again is
asked at once.

  $ D1=$CALLER_ADDR; start_server gen1 gen a; put_config ',{"name":"gen","host":"h.example","path_prefix":"/gen/","kind":"idempotent","service":"gen","max_attempts":2,"timeout_ms":1500,"target_latency_ms":300}'; sleep 0.5
  $ busy gen1 '{"retry_after": "100"}'; status /gen/busy; send_request /gen/ok -D head.txt -o /dev/null; retry_after 98 102
  503
  503
  1
  $ start_routed d2 ',"retry_after_max_s":2'; status /gen/busy; send_request /gen/ok -D head.txt -o /dev/null; retry_after 0.5 2.5
  503
  503
  1
  $ sleep 2.5; status /gen/ok
  200
  $ busy gen1 '{"retry_after": "100"}'; CALLER_ADDR=$D1; curl -s "http://127.0.0.1:$(cat gen1.ports)/fall" -d '{}' >/dev/null
  $ served() { [ "$(status /gen/ok)" = 200 ]; }; await served
