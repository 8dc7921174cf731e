Guards against answers that are cut, or given up, because sound servers or a caller
are silent for a moment.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ ROUTES=',{"name":"keep","host":"h.example","path_prefix":"/keep/","kind":"non_idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700}'
  $ put_config "$ROUTES"
  $ export DEADLINE=9000
  $ start_server app1 app a; start_server llm1 llm a engine; start_server llm2 llm b engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ now_ms() { date +%s%3N; }
  $ silence() { local ms=$1; shift; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/silence" -d "{\"ms\":$ms}"; done; sleep 0.05; }

A stream with events leaves its silent server, and the other one is silent too: no
connection to it can be opened. It goes on after the silence.

  $ RUNS=$(runs); (send_request /patient/slow >all.out) & pid=$!; running 1; sleep 0.4; silence 1200 llm1 llm2; wait $pid
  $ ids <all.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A configuration without its route and with other limits comes during the silence, or a
stop.

  $ sleep 1; RUNS=$(runs); (send_request /patient/slow >dropped.out) & pid=$!
  $ running 1; sleep 0.4; silence 1200 llm1 llm2; IDLE_MS=100 HEADER_MS=100 put_config; wait $pid; ids <dropped.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ put_config "$ROUTES"; D1=$CALLER_ADDR; start_routed d3 ',"stop_grace_s":9'; sleep 1
  $ RUNS=$(runs); (DEADLINE=6000 send_request /patient/slow >stopped.out) & pid=$!
  $ running 1; sleep 0.4; silence 1200 llm1 llm2; kill -TERM $d3_pid; wait $pid; ids <stopped.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ CALLER_ADDR=$D1

Both are gone for good: the stream ends at its time limit.

  $ sleep 1; RUNS=$(runs); START=$(now_ms); (DEADLINE=3000 send_request /patient/slow >gone.out; now_ms >gone.ms) & pid=$!
  $ running 1; sleep 0.4; silence 0 llm1 llm2; wait $pid; ids <gone.out
  id: 1 id: 2 id: 3 200 
  $ echo $(($(cat gone.ms) - START)) | awk '$1 < 3000 || $1 > 3500 { print "not at the limit:", $1 }'

A request has run, and its time limit is reached while the server is asked whether the
response, which has no length, is whole: its caller isn't told that it did not run.

  $ RUNS=$(runs); DEADLINE=150 send_request /keep/unframedstop | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"in_doubt"
  504
  $ kill -CONT $app1_pid; echo $(($(runs) - RUNS)); sleep 0.5
  1

The same, and the server goes on after 1.2 s: the response is forwarded.

  $ RUNS=$(runs); (sleep 1.2; kill -CONT $app1_pid) & pid=$!; send_request /keep/unframedstop; wait $pid
  unframed
  200
  $ echo $(($(runs) - RUNS)); sleep 0.5
  1

The host of the server is silent for 1.2 s at the end of the response.

  $ RUNS=$(runs); send_request /keep/unframedsilent; echo $(($(runs) - RUNS))
  unframed
  200
  1

A server that ended with such a response is not asked until the time limit.

  $ START=$(now_ms); send_request /keep/unframeddie | tail -n 1; echo $(($(now_ms) - START)) | awk '$1 > 1000 { print "late:", $1 }'
  502
  $ sleep 2.5

A stop begins while a caller receives answers, the caller pauses for 4.5 s, and the
idle timeout is 15 s: it gets all answers, the last one with the announced close.

  $ IDLE_MS=15000 BODY_BYTES=60000 put_config; start_routed d2 ',"stop_grace_s":9'
  $ cat >pausing.py <<'END'
  > import os, signal, socket, sys, time
  > BODY = b"x" * 50000
  > COUNT = 120  # more than the kernel's buffers hold
  > host, port = sys.argv[1].split(":")
  > s = socket.socket()
  > s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
  > s.settimeout(8)
  > s.connect((host, int(port)))
  > for n in range(COUNT):
  >     s.sendall(b"POST /open/ok HTTP/1.1\r\nHost: h.example\r\n"
  >               b"Goldcrestfield-Request-Id: pause%d\r\n"
  >               b"Content-Length: %d\r\n\r\n" % (n, len(BODY)) + BODY)
  >     if n == COUNT // 2:
  >         os.kill(int(sys.argv[2]), signal.SIGTERM)
  > time.sleep(4.5)
  > data = b""
  > while part := s.recv(65536):
  >     data += part
  > print(data.count(b"HTTP/1.1 200"), data.count(BODY), data.count(b"Connection: close"))
  > END
  $ python3 pausing.py $CALLER_ADDR $d2_pid
  120 120 1
