Guards against streams that lose, repeat or mix events when their server dies or
stops sending, and against runs that go on for callers that have disconnected.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }

  $ count() { for s in llm1 llm2 llm3; do stats $s | python3 -c "import json,sys; print(len(json.load(sys.stdin)['$1']))"; done | awk '{ n += $1 } END { print n }'; }

  $ send_request /draft/ok | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A caller resumes after the last event that it has received.

  $ send_request /draft/ok -H 'Last-Event-Id: 5' | ids
  id: 6 id: 7 id: 8 200 

The server dies inside its fourth event; the rest comes from the server that
holds the copy of the run's KV cache.

  $ send_request /draft/once-die | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ for s in llm1 llm2 llm3; do stats $s; echo; done | grep -o '"last": "3", "from": "127.0.0.1:[0-9]*/r[0-9]*"' | sed 's/:[0-9]*.r[0-9]*/:PORT\/ID/'
  "last": "3", "from": "127.0.0.1:PORT/ID"

The server sends nothing after its third event: its run is cancelled before the
stream resumes on another server, and the gap stays below target_gap_ms (700).

  $ send_request /draft/once-mute | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ for s in llm1 llm2 llm3; do field $s abandoned; done | sort
  [4]
  []
  []
  $ grep '"message":"request answered"' d1.log | tail -n 1 | grep -o '"pause_ms":"[0-9]*"' | tr -dc 0-9 | awk '{ print ($1 > 300 && $1 < 700) }'
  1

A server without a first event after target_latency_ms (2000) is kept while it
reports prompts that wait, and left if it reports none.

  $ RUNS=$(count runs)
  $ DEADLINE=9000 send_request /draft/wait | ids; echo $(($(count runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  $ DEADLINE=9000 send_request /draft/once-lost | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ grep '"message":"request answered"' d1.log | tail -n 1 | grep -o '"first_ms":"[0-9]*"' | tr -dc 0-9 | awk '{ print ($1 > 2000 && $1 < 3200) }'
  1

No server has memory for a new stream: it is refused as not run within an eighth
of target_latency_ms, with a time to come back. A resumed one is served.

  $ memory() { for s in llm1 llm2 llm3; do curl -s "http://127.0.0.1:$(cat $s.ports)/memory" -d "{\"used\":$1}" >/dev/null; done; }
  $ new_stream() { send_request /draft/ok -H 'Goldcrestfield-Prompt-Prefix: 5c1e07a2:100,91bd:300' -H 'Goldcrestfield-Token-Counts: 400,200' "$@"; }
  $ RUNS=$(count runs)
  $ memory 500; new_stream -D head.txt -w '%{http_code} %{time_total}\n' >full.out; echo $(($(count runs) - RUNS))
  0
  $ grep -o '"code":"overloaded"\|"run":"not_run"' full.out; tail -n 1 full.out | awk '{ print $1, ($2 < 0.6) }'
  "code":"overloaded"
  "run":"not_run"
  503 1
  $ grep -i -o 'retry-after: [0-9.]*' head.txt | awk '{ print ($2 >= 0.4 && $2 <= 1.0) }'
  1
  $ new_stream -H 'Last-Event-Id: 5' | ids
  id: 6 id: 7 id: 8 200 
  $ memory 300; new_stream | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

All servers die: the stream is aborted and does not appear complete.

  $ send_request /draft/die >die.out; echo "curl: $?"; ids <die.out
  curl: 18
  id: 1 id: 2 id: 3 200 

When the caller disconnects, its run is cancelled at once.

  $ RUNS=$(count runs) LEFT=$(count abandoned)
  $ send_request /draft/mute --max-time 0.3 >/dev/null; sleep 0.3
  $ echo $(($(count runs) - RUNS)) $(($(count abandoned) - LEFT))
  1 1

A caller that reads slowly gets the whole stream from one run: time in which the
daemon does not read, due to back-pressure, is not server inactivity.

  $ cat >slow.py <<END
  > import socket, sys, time
  > host, port = sys.argv[1].split(":")
  > s = socket.socket()
  > s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
  > s.connect((host, int(port)))
  > s.sendall(b"POST /draft/big HTTP/1.1\\r\\nHost: h.example\\r\\n"
  >           b"Goldcrestfield-Request-Id: slow\\r\\nConnection: close\\r\\n"
  >           b"Authorization: Token key-1\\r\\nContent-Length: 0\\r\\n\\r\\n")
  > data = s.recv(4096)
  > time.sleep(1.5)
  > while part := s.recv(1 << 20):
  >     data += part
  > print(data.count(b"id: "), data.endswith(b"\\r\\n0\\r\\n\\r\\n"))
  > END
  $ RUNS=$(count runs)
  $ python3 slow.py $CALLER_ADDR; echo $(($(count runs) - RUNS))
  200 True
  1
