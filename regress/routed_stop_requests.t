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
