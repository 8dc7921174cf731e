Guards against daemons that serve nobody while they are partitioned from all
backend servers, although callers and other daemons reach them: requests have to
be passed on to a daemon that reaches servers.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app b
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ APPS="app1 app2 app3"; SERVERS="$APPS llm1 llm2"
  $ for n in 1 2 3 4; do start_forwarding $n; done
  $ await knows_daemons 4
  $ at() { eval "CALLER_ADDR=\$d$1_caller CONTROL_ADDR=\$d$1_control"; shift; "$@"; }
  $ counts() { sort | uniq -c | awk '{ print $1, $2 }'; }
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ events() { cat $1 | grep -c "\"event\":$2" || true; }

twice: prints how many requests ran more often than they may, and their ids. A lookup may
run again if a daemon logged that its attempt failed (1114): one that takes longer than
300 ms is left. Bookings run once.

  $ status() { local kind=${1#/}; ID_PREFIX=${kind%%/*} send_request "$@" -o /dev/null; }
  $ twice() { "$TOP/regress/reruns.py" runs.log d?.log; }
  $ for id in look1 look2 book1 book2; do echo "$id app"; echo "$id app"; done >runs.sample
  $ for id in look1 book1; do echo "{\"event\":1114,\"request\":\"$id\"}"; done >d.sample
  $ "$TOP/regress/reruns.py" runs.sample d.sample
  3 look2 book1 book2

Without a cut nothing is passed on and no link is tried.

  $ for i in $(seq 8); do at 1 status /look/ok; at 2 status /book/ok; done | counts
  16 200
  $ sleep 1; for s in $APPS; do field $s queries; done | counts; events "d?.log" 113
  3 0
  0

The requests of the first moments find out that links hang. 1.5 s after the cut,
two daemons that are cut off serve as the two others; what can't be repeated runs
once.

  $ find_out() { for i in $(seq 5); do for d in $1; do (at $d status /look/ok; at $d status /draft/ok) >/dev/null & done; sleep 0.1; done; sleep 1; }
  $ each() { for i in $(seq $1); do for d in $2; do at $d status $3; done; done | counts; }
  $ partition hang "$SERVERS" "11 12"; find_out "1 2"
  $ each 20 "1 2" /look/ok; each 20 "3 4" /look/ok
  40 200
  40 200
  $ each 10 "1 2" /book/ok; twice
  20 200
  0
  $ at 1 send_request /draft/ok | ids; at 2 send_request /draft/ok -H 'Last-Event-Id: 3' | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ grep '"event":1130' d1.log | grep -o '"service":"[a-z]*"' | sort
  "service":"app"
  "service":"llm"
  $ grep -c '"event":1130' d3.log d4.log
  d3.log:0
  d4.log:0
  [1]

Daemons that pass requests on are ready.

  $ at 1 ready && at 3 ready
  $ curl -s "http://$d1_control/metrics" | grep -c '^goldcrest_routed_passed_on_total [1-9]'
  1
  $ cat d3.log d4.log | grep -o '"event":1133.*"daemon":"d[0-9]"' | grep -o 'd[0-9]"$' | sort -u
  d1"
  d2"

A server's failure is passed to the caller and not tried again elsewhere, and so
is a denial.

  $ RUNS=$(grep -c ' app$' runs.log); at 1 status /book/fail; echo $(($(grep -c ' app$' runs.log) - RUNS))
  500
  1
  $ AUTH=' Token wrong' at 1 status /look/ok; at 1 status /nothing/
  401
  404

A caller that leaves ends the work through both daemons within half a second.

  $ abandoned() { for s in llm1 llm2; do field $s abandoned; done | grep -o '[0-9]*' | wc -l; }
  $ LEFT=$(abandoned); (at 1 send_request /draft/slow --max-time 0.5 >left.out); sleep 0.5; echo $(($(abandoned) - LEFT))
  1

A body that is forwarded in parts, read slowly, is whole.

  $ at 1 send_request /draft/big --limit-rate 8M | grep -c '^id: '
  200

The daemon that runs a stream dies in the middle of it: the stream goes on.

  $ (ID_PREFIX=victim at 1 send_request /draft/slow >stream.out) & stream=$!; sleep 0.5
  $ victim=$(for d in d3 d4; do grep -q '"event":1113.*"request":"victim' $d.log && echo $d; done); echo $victim | grep -c '^d[34]$'
  1
  $ eval "kill_9 \$${victim}_pid"; wait $stream; cat stream.out | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

So do other requests, at the daemon that is left.

  $ each 10 "1 2" /look/ok
  20 200

Links come back: the daemons find out by themselves, and pass nothing on.

  $ reconnect "$SERVERS"; sleep 1.5; events "d1.log d2.log" 1131
  4
  $ PASSED=$(events "d?.log" 1132); each 10 "1 2" /look/ok; echo $(($(events "d?.log" 1132) - PASSED))
  20 200
  0

Links are reset, and new ones too.

  $ partition reset "$SERVERS" "11 12"; find_out "1 2"
  $ each 20 "1 2" /look/ok; each 10 "1 2" /book/ok; twice
  40 200
  20 200
  0
  $ at 2 send_request /draft/ok | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ reconnect "$SERVERS"; sleep 1.5

Open connections live on while new ones can't be made.

  $ each 4 "1 2" /look/ok
  8 200
  $ partition refuse-new "$SERVERS" "11 12"
  $ for i in $(seq 20); do for d in 1 2; do at $d status /look/ok & at $d status /book/ok & done; sleep 0.1; done >kept.out; sleep 2; counts <kept.out
  80 200
  $ each 10 "1 2" /look/ok; each 10 "1 2" /book/ok; twice
  20 200
  20 200
  0
  $ reconnect "$SERVERS"; sleep 1.5

All daemons are cut off: requests are refused at once as not run, with a time to
come back, and the daemons aren't ready.

  $ start_forwarding 5 b; sleep 1
  $ partition hang "$SERVERS" "11 12 13 14 15"; left="1 2 5"; find_out "$left"
  $ for d in $left; do at $d send_request /book/ok -D head.out -w '%{http_code} %{time_total}\n' >book.out; tail -n 1 book.out | awk '{ print $1, ($2 < 0.2) }'; grep -o '"run":"[a-z_]*"' book.out; grep -ic '^retry-after:' head.out; done
  503 1
  "run":"not_run"
  1
  503 1
  "run":"not_run"
  1
  503 1
  "run":"not_run"
  1
  $ for d in $left; do at $d status /draft/ok; at $d status /look/ok; at $d ready; echo $?; done | counts
  3 1
  6 503
  $ reconnect "$SERVERS"; sleep 1.5; for d in $left; do at $d status /book/ok; at $d ready; echo $?; done | counts
  3 0
  3 200
