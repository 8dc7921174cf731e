Guards against requests that are lost with a daemon that froze while it ran them
for another one, and against daemons that waver while links come and go or that
leave a service of which they still reach a server.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app b
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ APPS="app1 app2 app3"; SERVERS="$APPS llm1 llm2"
  $ for n in 1 2 3; do start_forwarding $n; done
  $ await knows_daemons 3
  $ at() { eval "CALLER_ADDR=\$d$1_caller CONTROL_ADDR=\$d$1_control"; shift; "$@"; }
  $ counts() { sort | uniq -c | awk '{ print $1, $2 }'; }
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ events() { cat $1 | grep -c "\"event\":$2" || true; }
  $ each() { for i in $(seq $1); do for d in $2; do at $d status $3; done; done | counts; }

One server of three is reached, or one service of two: requests are served there,
and passed on for the other service only.

  $ partition hang "app1 app2" 11
  $ for i in 1 2 3 4; do at 1 status /look/ok >find.out & sleep 0.1; done; sleep 1
  $ each 20 1 /look/ok; each 10 1 /book/ok; events d1.log 1130; events d1.log 1132
  20 200
  10 200
  0
  0
  $ reconnect "app1 app2"; partition reset "llm1 llm2" 11
  $ for i in 1 2 3 4; do at 1 status /draft/ok; done >find.out
  $ each 5 1 /draft/ok; each 10 1 /look/ok; grep '"event":1132' d1.log | grep -o '"service":"[a-z]*"' | sort -u
  5 200
  10 200
  "service":"llm"
  $ reconnect "llm1 llm2"; sleep 1.5

A daemon freezes while it runs a stream for another one, whose caller gets the
whole stream; others are served, too.

  $ partition reset "$SERVERS" 11
  $ for i in 1 2 3 4 5 6; do at 1 status /look/ok; at 1 status /draft/ok; done >find.out; sleep 0.5
  $ (at 1 send_request /draft/slow >stream.out) & stream=$!; sleep 0.5
  $ victim=$(for d in 2 3; do grep '"event":11[01]' d$d.log | tail -n 1 | grep -q '"event":1113' && echo $d; done); eval "kill -STOP \$d${victim}_pid"
  $ each 15 1 /look/ok; wait $stream; cat stream.out | ids
  15 200
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ eval "kill -CONT \$d${victim}_pid"; sleep 1; each 10 1 /book/ok
  10 200

All daemons lose their links in the middle of a stream, and some get them back a
second later: the stream goes on there.

  $ (at 1 send_request /draft/slow >stream.out) & stream=$!; sleep 0.5
  $ partition reset "llm1 llm2" "11 12 13"; sleep 1; partition reset "llm1 llm2" 11
  $ wait $stream; cat stream.out | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ reconnect "$SERVERS"; sleep 1.5

Links come and go each second: two thirds at least of what may be repeated are
served (the first request after a loss may have used up its attempts), and the
state changes with the links at most.

  $ BEGUN=$(events d1.log 1130)
  $ eight() { for i in 1 2 3 4 5 6 7 8; do at 1 status /look/ok; done; }
  $ for i in 1 2 3 4 5; do partition reset "$APPS" 11; eight; sleep 0.7; reconnect "$APPS"; eight; sleep 0.7; done | awk '{ served += $1 == 200 } END { print NR, (3 * served >= 2 * NR) }'
  80 1
  $ n=$(($(events d1.log 1130) - BEGUN)); echo $((n >= 1 && n <= 5))
  1
  $ sleep 1.5; PASSED=$(events d1.log 1132); each 10 1 /book/ok; echo $(($(events d1.log 1132) - PASSED))
  10 200
  0
