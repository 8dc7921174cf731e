Guards against a request that ends each server that begins to run it and comes
again at any daemon: it must not end more than three in the whole fleet.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ start_routed d1; D1=$CALLER_ADDR
  $ start_routed d2; D2=$CALLER_ADDR
  $ crashes() { wc -l <crashes.log; }
  $ up() { for s in app1 app2 app3; do stats $s >/dev/null || return 1; done; }
  $ settle() { await up; sleep 0.8; }

A lookup. The second daemon learns of the crashes from the first one.

  $ for d in $D1 $D2 $D1 $D2 $D1; do CALLER_ADDR=$d status '/look/crash?n=1'; settle; done
  502
  502
  503
  503
  503
  $ crashes
  3

  $ grep -h '"event":1118' d1.log d2.log | grep -o '"traits":"[0-9a-f]*"' | sort -u | wc -l
  1
  $ grep -h -o '"message":"request blocked"' d1.log d2.log | wc -l
  4
  $ on_both() { CALLER_ADDR=$D1 status "$@"; CALLER_ADDR=$D2 status "$@"; }
  $ CALLER_ADDR=$D2 send_request '/look/crash?n=1' -D head.txt | grep -o '"code":"unsafe_request"\|"run":"not_run"'
  "code":"unsafe_request"
  "run":"not_run"
  $ grep -i -o 'retry-after: [0-9.]*' head.txt | awk '{ print ($2 >= 30 && $2 <= 31) }'
  1
  $ curl -s "http://$CONTROL_ADDR/metrics" | grep '^goldcrest_requests_blocked_total'
  goldcrest_requests_blocked_total 3

Another path, query, body or method is another request, and is served.

  $ on_both /look/ok; on_both '/look/ok?n=1'; on_both /look/ok -d other
  200
  200
  200
  200
  200
  200

A daemon that starts later reads the reports from the store.

  $ start_routed d3; status '/look/crash?n=1'; crashes
  503
  3

A request that may not be repeated ends one server each time that it comes, and
one with the same path, but a new body each time can't be known.

  $ rm crashes.log
  $ for d in $D1 $D2 $D1 $D2; do CALLER_ADDR=$d status /book/ok -d 'crash a'; settle; done; crashes
  502
  502
  502
  503
  3
  $ on_both /book/ok -d 'no harm'
  200
  200

A stream, whichever prompt it has.

  $ rm crashes.log; start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine; start_server llm4 llm c engine
  $ await grep -q '"message":"backend server ready".*llm4' d1.log; await grep -q '"message":"backend server ready".*llm4' d2.log
  $ stream() { DEADLINE=9000 status /draft/ok -d 'crash b' -H 'Goldcrestfield-Prompt-Prefix: aa:100,bb:5'; }
  $ for d in $D1 $D2 $D1; do CALLER_ADDR=$d stream; sleep 3; done; crashes
  502
  503
  503
  3
  $ DEADLINE=9000 on_both /draft/ok -d 'no harm' -H 'Goldcrestfield-Prompt-Prefix: dd:100,cc:5'
  200
  200

Nothing tells it from the part that it shares with others until one daemon tries
that part.

  $ shared() { [ "$(DEADLINE=9000 on_both /draft/ok -d 'no harm' -H 'Goldcrestfield-Prompt-Prefix: aa:100,cc:5' | uniq)" = 200 ]; }
  $ await shared; crashes
  3
  $ for d in $D1 $D2; do CALLER_ADDR=$d stream; done; crashes
  503
  503
  3

A request that many ask for, at servers that end one after the other under others.

  $ for i in 1 2 3 4; do
  >   for j in 1 2 3 4 5 6; do CALLER_ADDR=$D1 status /look/slow & requests="$requests $!"; done >>hot.out
  >   sleep 0.2; CALLER_ADDR=$D2 status /book/ok -d "crash $i" >/dev/null; wait $requests; requests=; settle
  > done; sort hot.out | uniq -c | tr -s ' '
   24 200
  $ grep -c '"event":1118' d1.log | awk '{ print ($1 > 3) }'; on_both /look/slow
  1
  200
  200

A server that leaves ends with what still runs there: that is no crash.

  $ settle; REPORTS=$(grep -c '"event":1118' d1.log)
  $ for j in 1 2 3 4 5 6 7 8; do CALLER_ADDR=$D1 status /book/hang -d leave >>leave.out & leaving="$leaving $!"; done
  $ sleep 0.1; kill -USR1 $app1_pid; await grep -q '"message":"backend server draining"' d1.log
  $ kill_9 $app1_pid; wait $leaving; grep -c 502 leave.out | awk '{ print ($1 > 0) }'
  1
  $ echo $(($(grep -c '"event":1118' d1.log) - REPORTS))
  0
