Guards against requests to servers that have said that they are leaving, while
the store still lists them as ready.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"gen","host":"h.example","path_prefix":"/gen/","kind":"streaming","service":"gen","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700}'
  $ start_server app1 app a; start_server app2 app a
  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine
  $ start_server gen1 gen a engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ repeat() { local n=$1; shift; for i in $(seq $n); do "$@"; done | sort | uniq -c | sed 's/^ *//'; }
  $ headers() { curl -s "http://127.0.0.1:$(cat $1.ports)/headers" -d "$2" >/dev/null; }
  $ attempt() { grep '"message":"attempt started"' d1.log | tail -n 1 | grep -o "\"$1\":\"[a-z0-9]*\"" | cut -d'"' -f4; }
  $ retry_after() { grep -i -o 'retry-after: [0-9.]*' head.txt | awk "{ print (\$2 >= $1 && \$2 <= $2) }"; }

Other values than 1 say nothing.

  $ headers app1 '{"Server-Leaving": "0"}'; headers app2 '{"Server-Leaving": "yes"}'
  $ repeat 6 status /look/ok
  6 200
  $ repeat 6 status /look/ok
  6 200
  $ grep '"event":1119' d1.log | grep -o '"header":"[^"]*","value":"[^"]*"' | sort -u
  "header":"Server-Leaving","value":"0"
  "header":"Server-Leaving","value":"yes"

A failure says it, too: it is the last answer of its server.

  $ headers app1 '{"Server-Leaving": "1"}'; headers app2 '{}'
  $ BEFORE=$(field app1 requests)
  $ status /look/fail; repeat 9 status /look/ok
  500
  9 200
  $ echo $(($(field app1 requests) - BEFORE))
  1

A new entry that says "ready" doesn't bring it back, also if no other server is
left: the refusal comes with a time. A server with another id is used at once.

  $ kill -USR2 $app1_pid; sleep 0.3; repeat 9 status /look/ok
  9 200
  $ echo $(($(field app1 requests) - BEFORE))
  1
  $ headers app2 '{"Server-Leaving": "1"}'; send_request /look/shed -D head.txt | tail -n 1; retry_after 0.25 0.6
  503
  1
  $ kill -USR2 $app2_pid; sleep 0.3; send_request /book/ok -D head.txt | tail -n 1; retry_after 0.25 0.6
  503
  1
  $ start_server app3 app a; sleep 0.3; repeat 3 status /look/ok
  3 200

The head of a stream says it: the stream goes on, and the next one is refused.

  $ headers gen1 '{"Server-Leaving": "1"}'; send_request /gen/steady | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ send_request /gen/ok -D head.txt | tail -n 1; retry_after 0.25 0.6; field gen1 requests
  503
  1
  1

The server that holds the copy of a running stream says it in a load report: the
copy goes to the third server, and the stream is left alone.

  $ (send_request /draft/steady >steady.out) & steady_pid=$!; sleep 0.7
  $ RUN=$(attempt server); COPY=$(attempt copy); THIRD=$(printf '%s\n' llm1 llm2 llm3 | grep -v "$RUN\|$COPY")
  $ headers $COPY '{"Server-Leaving": "1"}'; moved() { status /draft/ok >moved.out; field $RUN orders | grep -q ":$(cat $THIRD.ports)"; }; await moved
  $ BEFORE=$(field $COPY requests); status /draft/ok
  200
  $ wait $steady_pid; ids <steady.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ field $RUN orders | grep -o "127[0-9.:]*" | sort -u | sed "s/$(cat $THIRD.ports)/third/"
  127.0.0.1:third

No stream goes to a server whose load report, which was just asked for, says it,
and it isn't asked again.

  $ QUERIES=$(field $RUN queries); RUNS=$(field $RUN requests)
  $ headers $RUN '{"Server-Leaving": "1"}'; repeat 6 status /draft/ok
  6 200
  $ echo $(($(field $RUN queries) - QUERIES)) $(($(field $RUN requests) - RUNS)) $(($(field $COPY requests) - BEFORE))
  1 0 0

The last one goes as well. A server with another id is used at once.

  $ headers $THIRD '{"Server-Leaving": "1"}'; status /draft/ok
  200
  $ send_request /draft/ok -D head.txt | tail -n 1; retry_after 0.25 0.6
  503
  1
  $ start_server llm4 llm a engine; sleep 0.3; send_request /draft/ok | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A response that ends with its connection may be cut off where its server ends. One
that leaves isn't asked whether it is still there, so that its response isn't taken
for whole: a stream goes on elsewhere, a lookup is repeated.

  $ start_pair() { start_server $1 $3 a $4; start_server $2 $3 b $4; headers $1 "$5"; headers $2 "$5"; sleep 0.3; }
  $ LEAVES='{"Server-Leaving": "1"}'
  $ start_pair gen2 gen3 gen engine "$LEAVES"; send_request /gen/once-plaindie | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ start_pair gen4 gen5 gen engine "$LEAVES"; send_request /gen/once-plain | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ headers app3 "$LEAVES"; start_server app4 app a; headers app4 "$LEAVES"; sleep 0.3
  $ send_request /look/once-unframeddie | grep -o '"target": "[^"]*"\|^[0-9]*$'
  "target": "/look/once-unframeddie"
  200
  $ start_server app5 app a; headers app5 "$LEAVES"; sleep 0.3; send_request /book/unframeddie | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"in_doubt"
  502

Neither is one asked that pauses. With no other server, the stream is aborted.

  $ start_pair gen6 gen7 gen engine '{}'
  $ for s in gen6 gen7; do curl -s "http://127.0.0.1:$(cat $s.ports)/busy" -d '{"retry_after": "5"}' >/dev/null; done
  $ (send_request /gen/plainslowdie >cut.out; echo "curl: $?" >>cut.out) & cut_pid=$!; sleep 0.2; status /gen/busy
  503
  $ wait $cut_pid; ids <cut.out; tail -n 1 cut.out
  id: 1 id: 2 id: 3 200 
  curl: 18
