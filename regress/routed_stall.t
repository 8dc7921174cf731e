Guards against verdicts that a daemon which was stalled gives before it has read
what arrived meanwhile.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1
  $ cat >caller.py <<'EOF'
  > import os, signal, socket, sys, time, urllib.request
  > host, port = sys.argv[1].split(":")
  > pid = int(sys.argv[2])
  > def connect():
  >     s = socket.create_connection((host, int(port)))
  >     s.settimeout(5)
  >     return s
  > def request(method, path, name):
  >     return (b"%s %s HTTP/1.1\r\nHost: h.example\r\n"
  >             b"Goldcrestfield-Request-Id: %s%d\r\n"
  >             b"Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n"
  >             % (method, path, name, pid))
  > def status(s):
  >     data = b""
  >     try:
  >         while b"\r\n\r\n" not in data:
  >             part = s.recv(65536)
  >             if not part:
  >                 return "closed"
  >             data += part
  >         head, _, body = data.partition(b"\r\n\r\n")
  >         length = int(head.lower().split(b"content-length:")[1].split()[0])
  >         while len(body) < length:
  >             body += s.recv(65536)
  >     except ConnectionResetError:
  >         return "reset"
  >     return data[9:12].decode()
  > def stop():
  >     os.kill(pid, signal.SIGSTOP)
  > def resume():
  >     os.kill(pid, signal.SIGCONT)
  > def post(server, path, body=b"{}"):
  >     with open(server + ".ports") as f:
  >         url = "http://127.0.0.1:%s%s" % (f.read().strip(), path)
  >     urllib.request.urlopen(url, body).close()
  > EOF

A request is not sent on an idle connection that the server has closed. The
request of the caller arrives before that close and is read first.

  $ cat >dropped.py <<'EOF'
  > from caller import *
  > s = connect()
  > s.sendall(request(b"POST", b"/book/ok", b"first"))
  > print(status(s))
  > stop()
  > s.sendall(request(b"POST", b"/book/ok", b"second"))
  > time.sleep(0.1)
  > post("app1", "/drop")
  > time.sleep(0.1)
  > resume()
  > print(status(s))
  > EOF
  $ PYTHONDONTWRITEBYTECODE=1 python3 dropped.py $CALLER_ADDR $d1_pid
  200
  200

A request whose rest arrived within the header timeout (400 ms) is served, though
the timer of an earlier, incomplete request makes the daemon look at its timers
first. That request and one of which a byte arrives now and then are refused.

  $ cat >rest.py <<'EOF'
  > from caller import *
  > text = request(b"GET", b"/look/ok", b"rest")
  > incomplete = connect()
  > incomplete.sendall(text[:20])
  > time.sleep(0.25)
  > s = connect()
  > s.sendall(text[:20])
  > time.sleep(0.05)
  > stop()
  > time.sleep(0.2)
  > s.sendall(text[20:])
  > time.sleep(0.4)
  > resume()
  > print(status(s), status(incomplete))
  > s = connect()
  > start = time.monotonic()
  > s.settimeout(0.01)
  > for c in text:
  >     s.sendall(bytes([c]))
  >     try:
  >         print(s.recv(12).decode(), time.monotonic() - start < 0.8)
  >         break
  >     except TimeoutError:
  >         pass
  > EOF
  $ PYTHONDONTWRITEBYTECODE=1 python3 rest.py $CALLER_ADDR $d1_pid
  200 408
  HTTP/1.1 408 True

Load reports that have arrived when their time (40 ms) is over count, though the
daemon looks at its timers first. Otherwise the sound servers llm1 and llm2 and
their failure domain are ejected and the request goes to llm3, which is full.

  $ start_server llm1 llm a engine; start_server llm2 llm a engine
  $ start_server llm3 llm b engine
  $ cat >reports.py <<'EOF'
  > from caller import *
  > post("llm3", "/memory", b'{"used":999}')
  > for server in ("llm1", "llm2"):
  >     post(server, "/stall", b'{"pid":%d}' % pid)
  > EOF
  $ sleep 0.3; PYTHONDONTWRITEBYTECODE=1 python3 reports.py $CALLER_ADDR $d1_pid
  $ status /draft/ok
  200
  $ field llm3 runs
  []
