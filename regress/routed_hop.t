Guards against requests that are passed on twice, by others than daemons, under an
older configuration or with more attempts than the route allows, and against a lost
response between two daemons that is taken for "not run".

Runs alone: a refusal has to come within 0.1 s.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ SERVERS="app1 app2 llm1 llm2"
  $ for n in 1 2; do start_forwarding $n; done
  $ await knows_daemons 2
  $ at() { eval "CALLER_ADDR=\$d$1_caller CONTROL_ADDR=\$d$1_control"; shift; "$@"; }
  $ counts() { sort | uniq -c | awk '{ print $1, $2 }'; }
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ each() { for i in $(seq $1); do for d in $2; do at $d status $3; done; done | counts; }
  $ runs() { grep -c ' app$' runs.log; }

hop N PATH [OPTION...]: a request as a daemon passes it on to dN; prints the body,
the headers between daemons and the status.

  $ hop() {
  >   eval "CALLER_ADDR=\$d$1_forward"; shift
  >   send_request "$@" -H 'Goldcrest-Hop: d9' -D hop.out
  >   grep -i '^goldcrest-hop' hop.out | tr -d '\r'
  > }
  $ hop 1 /look/ok -H 'Goldcrest-Hop-Config: 3' -o body.out; grep -c '"target": "/look/ok"' body.out
  200
  Goldcrest-Hop-Result: done
  1

Callers can't pass for a daemon: at their listener the headers have no effect and
reach no server, and responses have none.

  $ at 1 send_request /look/ok -H 'Goldcrest-Hop: d2' -H 'Goldcrest-Hop-Config: 999' -H 'Goldcrest-Hop-Sent: 9' -D head.out -o body.out; grep -ic goldcrest-hop head.out
  200
  0
  [1]
  $ at 1 send_request /draft/ok -H 'Goldcrest-Hop-Version: v9' | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A daemon's listener runs nothing from addresses that no daemon has, says so and closes
the connection.

  $ RUNS=$(runs); hop 1 /look/ok --interface 127.0.0.77 -H 'Goldcrest-Hop-Config: 3' -o body.out; grep -o '"code":"[a-z_]*"' body.out; grep -i '^connection' hop.out | tr -d '\r'; echo $(($(runs) - RUNS))
  503
  Goldcrest-Hop-Result: not-run
  "code":"unknown_daemon"
  Connection: close
  0

A daemon with an older configuration than that by which the request was admitted,
or than none is named, doesn't run it; others may. Its own decides what it runs.

  $ RUNS=$(runs)
  $ hop 1 /book/ok -H 'Goldcrest-Hop-Config: 4' -o body.out; grep -o '"code":"[a-z_]*"' body.out
  503
  Goldcrest-Hop-Result: not-run
  "code":"stale"
  $ hop 1 /book/ok -o body.out; grep -o '"code":"[a-z_]*"' body.out
  503
  Goldcrest-Hop-Result: not-run
  "code":"stale"
  $ AUTH=' Token wrong' hop 1 /book/ok -H 'Goldcrest-Hop-Config: 3' -o body.out
  401
  Goldcrest-Hop-Result: done
  $ hop 1 /nothing/ -H 'Goldcrest-Hop-Config: 3' -o body.out
  404
  Goldcrest-Hop-Result: done
  $ echo $(($(runs) - RUNS))
  0

Servers that got the request before count towards max_attempts (2).

  $ RUNS=$(runs); hop 1 /look/cut -H 'Goldcrest-Hop-Config: 3' -o body.out; echo $(($(runs) - RUNS))
  502
  Goldcrest-Hop-Result: done
  2
  $ sleep 1; RUNS=$(runs); hop 1 /look/cut -H 'Goldcrest-Hop-Config: 3' -H 'Goldcrest-Hop-Sent: 1' -o body.out; echo $(($(runs) - RUNS))
  502
  Goldcrest-Hop-Result: done
  1

Servers that break off under a request aren't taken for links that are lost.

  $ sleep 1; hop 1 /look/cut -H 'Goldcrest-Hop-Config: 3' -o body.out; sleep 0.1; hop 1 /look/ok -H 'Goldcrest-Hop-Config: 3' -o body.out
  502
  Goldcrest-Hop-Result: done
  200
  Goldcrest-Hop-Result: done

A stream goes on at the version that is named, or not at all; the response names
that of the server.

  $ hop 1 /draft/ok -H 'Goldcrest-Hop-Config: 3' -H 'Goldcrest-Hop-Version: v1' -H 'Last-Event-Id: 5' | ids; grep -i '^goldcrest-hop' hop.out | tr -d '\r'
  id: 6 id: 7 id: 8 200 
  Goldcrest-Hop-Result: done
  Goldcrest-Hop-Version: v1
  $ hop 1 /draft/ok -H 'Goldcrest-Hop-Config: 3' -H 'Goldcrest-Hop-Version: v9' -H 'Last-Event-Id: 5' -o body.out; grep -o '"code":"[a-z_]*"' body.out
  503
  Goldcrest-Hop-Result: not-run
  "code":"version_gone"

One hop, never two: a daemon that reaches no server itself says so at once.

  $ partition reset "$SERVERS" 11
  $ for i in 1 2 3 4 5 6; do at 1 status /look/ok; at 1 status /draft/ok; done >find.out; sleep 0.5
  $ hop 1 /book/ok -H 'Goldcrest-Hop-Config: 3' -o body.out -w '%{http_code} %{time_total}\n' >time.out; awk 'NR == 1 { print $1, ($2 < 0.1) }' time.out; sed 1d time.out
  503 1
  Goldcrest-Hop-Result: not-run
  $ grep '"event":1132' d1.log | grep -c '"daemon":"d9"'
  0
  [1]

The time of the hop is taken from the caller's; what callers send reaches the
server unchanged, and keys don't.

  $ each 3 1 /book/ok
  3 200
  $ DEADLINE=700 at 1 send_request '/book/ok?a=b%20c' -d 'some body' -H 'X-Own: 1' -o body.out; python3 - <<'END'
  > import json
  > b = json.load(open("body.out"))
  > print(b["method"], b["target"], b["body"], b["account"], b["key"])
  > END
  200
  POST /book/ok?a=b%20c some body north None
  $ for s in app1 app2; do field $s seen; done | grep -o "'deadline': [0-9]*" | tr -dc '0-9\n' | sort -n | awk '$1 < 700 { n += $1 > 500 } END { print (n > 0) }'
  1
  $ at 1 send_request /look/ok -I -o body.out; at 1 send_request /look/ok --http1.0 -o body.out
  200
  200

Something else answers at the address of a daemon, or nothing does: it has not said
that it didn't run the request. One that refuses connections didn't get it.

  $ entry() { operator "{\"key\":\"goldcrest/daemons/$1\",\"value\":{\"address\":\"127.0.0.1:9\",\"failure_domain\":\"a\",\"forward\":\"$2\"}}"; }
  $ python3 -c '
  > import socket, time
  > s = socket.create_server(("127.0.0.1", 0)); print(s.getsockname()[1], flush=True)
  > while True:
  >     c, _ = s.accept(); c.recv(9999); c.close()' >closes.port & pids="$pids $!"
  $ await test -s closes.port
  $ kill -TERM $d2_pid; wait $d2_pid; sleep 1
  $ entry d7 "127.0.0.1:$(cat closes.port)"; sleep 1; at 1 send_request /book/ok | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"in_doubt"
  502
  $ entry d7 "127.0.0.1:$(cat app1.ports)"; sleep 2; at 1 send_request /book/ok | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"in_doubt"
  502
  $ entry d7 "127.0.0.1:9"; sleep 2; at 1 send_request /book/ok | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"not_run"
  503
  $ entry d7 "nonsense"; sleep 2; at 1 send_request /book/ok | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"not_run"
  503

A stream that has begun is lost together with its daemon, and the next daemon
answers with an error: it isn't shown as complete, nor is the error a part of it.

  $ python3 -c '
  > import socket
  > s = socket.create_server(("127.0.0.1", 0)); print(s.getsockname()[1], flush=True)
  > while True:
  >     c, _ = s.accept(); data = c.recv(9999).decode()
  >     name = "Goldcrestfield-Request-Id: "
  >     request_id = [x for x in data.split("\r\n") if x.startswith(name)][0]
  >     c.sendall(f"HTTP/1.1 502 Bad\r\n{request_id}\r\nGoldcrest-Hop-Result: done\r\nContent-Length: 9\r\n\r\nid: 5\n\nxx".encode())' >fails.port & pids="$pids $!"
  $ await test -s fails.port
  $ operator '{"key":"goldcrest/daemons/d7","remove":true}'
  $ start_forwarding 5; sleep 1.5
  $ (at 1 send_request /draft/slow >stream.out; echo "curl: $?" >>stream.out) & stream=$!; sleep 0.6
  $ entry d7 "127.0.0.1:$(cat fails.port)"; sleep 0.4; kill_9 $d5_pid; wait $stream
  $ grep -o '^id: [0-9]*\|^xx\|^curl.*' stream.out | sort -u | grep -c 'id: [78]\|xx'; tail -n 1 stream.out
  0
  curl: 18

A daemon that stops lets the requests of others end, and takes no new ones.

  $ operator '{"key":"goldcrest/daemons/d7","remove":true}'
  $ start_forwarding 3; start_forwarding 4; sleep 1.5
  $ (at 1 send_request /draft/slow >stream.out) & stream=$!; sleep 0.5
  $ victim=$(for d in 3 4; do grep '"event":11[01]' d$d.log | tail -n 1 | grep -q '"event":1113' && echo $d; done); eval "kill -TERM \$d${victim}_pid"
  $ each 10 1 /book/ok; wait $stream; cat stream.out | ids
  10 200
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ hop $victim /book/ok -H 'Goldcrest-Hop-Config: 3' -o body.out; grep -o '"code":"[a-z_]*"' body.out
  503
  Goldcrest-Hop-Result: not-run
  "code":"stopping"

One that passes requests on and stops lets them end, too.

  $ eval "wait \$d${victim}_pid"
  $ (at 1 send_request /draft/slow >stream.out) & stream=$!; sleep 0.4
  $ kill -TERM $d1_pid; wait $stream; cat stream.out | ids; wait $d1_pid
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
