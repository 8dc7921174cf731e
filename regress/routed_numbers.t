Guards against numbers in headers whose sums overflow, or that are read as others: a
caller's deadline, the id of its last event, and what servers answer.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server llm1 llm a engine; start_server llm2 llm b engine
  $ start_routed d1
  $ headers() { curl -s "http://127.0.0.1:$(cat $1.ports)/headers" -d "$2" >/dev/null; }
  $ deadlines() { field app1 seen | grep -o "'deadline': [0-9]*" | tail -n 1 | awk '{ print ($2 > 500 && $2 <= 1500) }'; }

What isn't a number, or comes twice, counts as absent: the route's time limit holds.

  $ for ms in 9223372036854775807 9223372036854775808 99999999999999999999999 -1 +3000 00003000 3000.0 3e3 '' soon; do DEADLINE=$ms status /look/ok; deadlines; done | sort | uniq -c | awk '{ print $1, $2 }'
  10 1
  10 200
  $ DEADLINE=200 status /look/ok -H 'Goldcrestfield-Deadline-Ms: 2500'; deadlines
  200
  1

With a limited server, callers are told to come back within their time. A deadline of
2^63 - 1 overflowed here.

  $ headers app1 '{"Server-Limit": "1"}'; for i in 1 2 3; do status /look/ok >warm.out; done
  $ for ms in 9223372036854775807 3000; do for i in 1 2 3 4; do DEADLINE=$ms send_request /look/ok -D head.txt -o /dev/null | grep -q 503 && grep -i '^retry-after' head.txt | tr -d '\r' | awk '{ if ($2 < 0 || $2 > 60) print "odd:", $2 }'; done; done
  $ headers app1 '{}'; served() { [ $(status /look/ok) = 200 ]; }; await served

The id of the last event.

  $ for id in 9223372036854775807 9223372036854775808 -1 +2 2.0; do status /draft/ok -H "Last-Event-Id: $id" -o /dev/null; done | grep -v '^200$\|^50[234]$'
  [1]
  $ send_request /draft/ok -H 'Last-Event-Id: 0005' | grep -o 'id: [0-9]*\|^[0-9]*$' | xargs
  id: 6 id: 7 id: 8 200

What one daemon asks of another.

  $ asked() { curl -s -o /dev/null -w '%{http_code}\n' "http://$PEER_ADDR/peer/$1"; }
  $ for n in '' -1 +1 1.0 1e1 x 1x; do asked "changes?after=$n&era=1&wait_ms=0"; asked "changes?after=1&era=1&wait_ms=$n"; asked "config?newer_than=$n"; done | sort | uniq -c | awk '{ print $1, $2 }'
  21 400
  $ asked 'changes?after=0001&era=1&wait_ms=9223372036854775808'; asked 'config?newer_than=9223372036854775808'; asked 'config?newer_than=0000'
  400
  204
  200

Times for which a server's connections live.

  $ for value in timeout=9223372036854775807 timeout=-1 timeout=99999999999999999999 timeout= timeout=0 timeout=1.5; do headers app1 "{\"Keep-Alive\": \"$value\"}"; status /look/ok; status /book/ok; done | sort | uniq -c | awk '{ print $1, $2 }'
  12 200
  $ kill -0 $d1_pid && echo up
  up
