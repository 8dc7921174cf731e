Guards against answers that reach another caller, against incomplete answers
that look complete, against streams that are cut while sound or kept while
stalled, and against servers whose bytes never end.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }

A server sends a second copy of an answer when the next request is on the
connection, or in between: the next caller gets its own answer.

  $ for i in 1 2 3 4 5 6; do
  >   send_request "/look/copylate?first=$i" >first.out; send_request "/look/ok?second=$i" >second.out
  >   grep -c "second=$i" second.out
  > done | sort | uniq -c | sed 's/^ *//'
  6 1
  $ for i in 1 2 3 4 5 6; do
  >   send_request "/look/copyidle?first=$i" >first.out; send_request "/look/ok?second=$i" >second.out
  >   grep -c "second=$i" second.out
  > done | sort | uniq -c | sed 's/^ *//'
  6 1

The same after a refusal, also if the very request that was refused comes again on
the connection: it isn't said to be refused once more while it runs.

  $ for i in 1 2 3 4 5 6; do
  >   status "/look/once-shedlate?first=$i"; send_request "/look/ok?second=$i" | grep -c "second=$i"
  > done | sort | uniq -c | sed 's/^ *//'
  6 1
  6 200
  $ again() { curl -s -o /dev/null -w '%{http_code}\n' "http://$CALLER_ADDR/book/once-shedlate" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $1" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 3000"; }
  $ kill -USR1 $app2_pid; await grep -q '"message":"backend server draining"' d1.log
  $ for i in 1 2 3 4 5 6; do again again$i; again again$i; done | uniq -c | sed 's/^ *//' | sort | uniq -c | sed 's/^ *//'
  6 1 200
  6 1 503
  $ kill -USR2 $app2_pid; sleep 0.3

An answer that doesn't name the request isn't taken for the caller's: neither a
success, nor a statement that the request did not run.

  $ status /look/once-bare
  200
  $ send_request /look/once-bare | grep -c 'not yours'
  0
  [1]
  $ status /book/bare
  502
  $ status /book/bareshed
  502

An answer that breaks off is never a success: it is asked for again where that
is allowed, and ends the connection early where its head has been sent.

  $ for cut in cuthead cutbody cutsize cutchunk cutlast cuttrailer; do
  >   echo $cut $(status /look/once-$cut) $(status /book/$cut)
  > done
  cuthead 200 502
  cutbody 200 502
  cutsize 200 502
  cutchunk 200 502
  cutlast 200 502
  cuttrailer 200 502
  $ for cut in cutlarge cutlargechunk; do
  >   send_request /look/once-$cut >cut.out; echo $cut curl: $? $(($(wc -c <cut.out) <= 100004))
  >   send_request /book/$cut >cut.out; echo $cut curl: $? $(($(wc -c <cut.out) <= 100004))
  > done
  cutlarge curl: 18 1
  cutlarge curl: 18 1
  cutlargechunk curl: 18 1
  cutlargechunk curl: 18 1

A stream whose events are complete but whose body isn't goes on elsewhere.

  $ send_request /draft/once-cutend | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A stream with neither a length nor chunks ends with its connection. It has been
broken off if it ends inside an event, or before the first one.

  $ for end in plain once-plaincut once-empty; do send_request /draft/$end | ids; done
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

So has an empty rest of one that the caller resumes.

  $ send_request /draft/once-empty -H 'Last-Event-Id: 3' | ids
  id: 4 id: 5 id: 6 id: 7 id: 8 200 

A slow but sound stream with comments between its events is one run; a stalled
one that sends bytes, comments or an endless event, but no event, goes on
elsewhere within the longest gap (700 ms).

  $ count() { for s in llm1 llm2 llm3; do stats $s | python3 -c "import json,sys; print(len(json.load(sys.stdin)['$1']))"; done | awk '{ n += $1 } END { print n }'; }
  $ RUNS=$(count runs)
  $ send_request /draft/steady | ids; echo $(($(count runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  $ for stall in trickle comments endlessevent; do
  >   send_request /draft/once-$stall | ids
  >   grep '"message":"request answered"' d1.log | tail -n 1 | grep -o '"pause_ms":"[0-9]*"' | tr -dc 0-9 | awk '{ print ($1 < 700) }'
  > done
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1

A plain answer of which a byte arrives now and then ends at the route's limit
(look: 1500 ms, book: 1000 ms).

  $ within() { python3 -c "import sys; print($1 <= float(sys.argv[1]) <= $2)" "$(tail -n 1 time.out)"; }
  $ status /look/trickle -w '%{http_code} %{time_total}\n' | tr ' ' '\n' >time.out; head -n 1 time.out; within 1.4 2.2
  504
  True
  $ status /book/trickle -w '%{http_code} %{time_total}\n' | tr ' ' '\n' >time.out; head -n 1 time.out; within 0.9 1.7
  504
  True

Bytes that are no answer and never end: the connection is closed, the memory of
the daemon stays bounded (96 MB on the smallest machines), and the request ends
as its kind allows.

  $ for part in bytes head ext trailer fail interim; do
  >   echo $part $(status /look/once-endless$part) $(status /book/endless$part)
  > done
  bytes 200 502
  head 200 502
  ext 200 502
  trailer 200 502
  fail 200 502
  interim 200 502
  $ send_request /book/endlessbody -o body.out; echo "curl: $?"
  200
  curl: 18
  $ sleep 0.5; awk -v own=${SANITIZER_KB:-0} '/VmHWM/ { print ($2 < 65536 + own) }' /proc/$d1_pid/status
  1
  $ for s in app1 app2; do field $s endless; done | tr -d '[]' | tr ',' '\n' | awk 'NF { n++; big += $1 > 300000000 } END { print n, big }'
  13 0

A server whose process has died refuses connections: requests go on elsewhere at
once, not after the time for a connect.

  $ start_server app3 app a; await grep -q '"message":"backend server ready".*app3' d1.log
  $ kill -9 $app3_pid; wait $app3_pid 2>/dev/null
  [137]
  $ for i in $(seq 40); do status /look/ok; done | sort | uniq -c | sed 's/^ *//'
  40 200
  $ grep '"message":"attempt failed"' d1.log | grep '"server":"app3"' | grep -o 'Connection refused\|connect timed out' | sort -u
  Connection refused

A server that ends between two events, or inside a body without length, closes
its connection in order: that must not pass as the end of the response.

  $ send_request /draft/once-plaindie | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ send_request /look/once-unframeddie | grep -o '"target": "[^"]*"\|^[0-9]*$'
  "target": "/look/once-unframeddie"
  200
  $ send_request /book/unframeddie | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"in_doubt"
  502
