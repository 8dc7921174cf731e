Guards against a planned stop that ends a received request without an answer or
a refusal.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1

The second of two pipelined requests is answered if the stop begins during the
first. Only the last response announces the close.

  $ cat >pipelined.py <<'EOF'
  > import os, signal, socket, sys, time
  > host, port = sys.argv[1].split(":")
  > pid, separate = int(sys.argv[2]), sys.argv[3] == "separate"
  > def request(name):
  >     return (b"GET /open/%s HTTP/1.1\r\nHost: h.example\r\n"
  >             b"Goldcrestfield-Request-Id: %s%d\r\n\r\n"
  >             % (name, name, pid))
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(request(b"slow") + (b"" if separate else request(b"ok")))
  > time.sleep(0.1)
  > os.kill(pid, signal.SIGTERM)
  > time.sleep(0.1)
  > if separate:
  >     s.sendall(request(b"ok"))
  > data = b""
  > try:
  >     while part := s.recv(65536):
  >         data += part
  > except ConnectionResetError:
  >     data += b"\nHTTP reset"
  > for line in data.split(b"\n"):
  >     if line.startswith((b"HTTP", b"Connection")):
  >         print(line.decode().strip())
  > EOF
  $ python3 pipelined.py $CALLER_ADDR $d1_pid together
  HTTP/1.1 200 OK
  HTTP/1.1 200 OK
  Connection: close

  $ start_routed d2
  $ python3 pipelined.py $CALLER_ADDR $d2_pid separate
  HTTP/1.1 200 OK
  HTTP/1.1 200 OK
  Connection: close

At the end of the grace period, each request in flight gets a response: a
refusal if it was not sent, a failure if it may have run. A response that has
begun is aborted. The process ends within its grace period.

  $ put_config ',
  >  {"name":"wait","host":"h.example","path_prefix":"/wait/",
  >   "kind":"idempotent","service":"none","max_attempts":2,
  >   "timeout_ms":60000,"target_latency_ms":60000},
  >  {"name":"long","host":"h.example","path_prefix":"/long/",
  >   "kind":"non_idempotent","service":"app","max_attempts":2,
  >   "timeout_ms":30000}'
  $ start_server llm1 llm a engine
  $ start_routed d3
  $ code() { sed -n 's/.*"code":"\([a-z_]*\)".*"run":"\([a-z_]*\)".*/\1 \2/p' "$1"; tail -n 1 "$1"; }
  $ DEADLINE=60000 send_request /wait/ok >wait.out & wait_pid=$!
  $ DEADLINE=20000; send_request /long/hang >long.out & long_pid=$!
  $ send_request /draft/mute >mute.out & mute_pid=$!
  $ sleep 0.3; kill -TERM $d3_pid; started=$(date +%s%N)
  $ wait $wait_pid; wait $long_pid; wait $mute_pid
  [18]
  $ code wait.out; code long.out; tail -n 1 mute.out
  stopping not_run
  503
  stopped in_doubt
  504
  200
  $ wait $d3_pid; echo $(($(date +%s%N) - started < 4000000000))
  1
  $ grep -o '"event":111[0-2],.*"limit":"stop"' d3.log | grep -o '"event":[0-9]*' | sort
  "event":1110
  "event":1111
  "event":1112
