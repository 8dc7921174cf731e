Guards against requests that are lost because the daemon was stalled while the
idle timeout of their connection ran out.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1
  $ cat >idle.py <<'END'
  > import os, signal, socket, sys, time
  > host, port = sys.argv[1].split(":")
  > pid, idle_s = int(sys.argv[2]), float(sys.argv[3])
  > request = (b"GET /look/ok HTTP/1.1\r\nHost: h.example\r\n"
  >            b"Goldcrestfield-Request-Id: r%d\r\n"
  >            b"Authorization: Token key-1\r\n\r\n")
  > def read_response(s):
  >     data = b""
  >     while b"\r\n\r\n" not in data:
  >         part = s.recv(65536)
  >         if not part:
  >             return "closed"
  >         data += part
  >     head, _, body = data.partition(b"\r\n\r\n")
  >     length = int(head.lower().split(b"content-length:")[1].split()[0])
  >     while len(body) < length:
  >         part = s.recv(65536)
  >         assert part, "truncated"
  >         body += part
  >     return data[:12].decode()
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(request % 1)
  > assert "200" in read_response(s)
  > time.sleep(idle_s - 0.3)
  > os.kill(pid, signal.SIGSTOP)
  > time.sleep(0.6)
  > s.sendall(request % 2)
  > time.sleep(0.1)
  > os.kill(pid, signal.SIGCONT)
  > try:
  >     print(read_response(s))
  > except ConnectionResetError:
  >     print("reset")
  > END

The idle timeout is 5 s, and the close comes 2 s later.

  $ python3 idle.py $CALLER_ADDR $d1_pid 7
  HTTP/1.1 200

A change that raises the timeout holds for connections that are idle already.

  $ cat >raised.py <<'END'
  > import socket, sys, time
  > host, port = sys.argv[1].split(":")
  > request = (b"GET /look/ok HTTP/1.1\r\nHost: h.example\r\n"
  >            b"Goldcrestfield-Request-Id: r%d\r\n"
  >            b"Authorization: Token key-1\r\n\r\n")
  > def read_response(s):
  >     data = b""
  >     while b"\r\n\r\n" not in data:
  >         part = s.recv(65536)
  >         if not part:
  >             return "closed"
  >         data += part
  >     head, _, body = data.partition(b"\r\n\r\n")
  >     length = int(head.lower().split(b"content-length:")[1].split()[0])
  >     while len(body) < length:
  >         part = s.recv(65536)
  >         assert part, "truncated"
  >         body += part
  >     return data[:12].decode()
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(request % 3)
  > assert "200" in read_response(s)
  > time.sleep(float(sys.argv[2]))
  > try:
  >     s.sendall(request % 4)
  >     print(read_response(s))
  > except OSError:
  >     print("reset")
  > END
  $ python3 raised.py $CALLER_ADDR 7.6 >raised.out & sleep 1; IDLE_MS=8000 put_config
  $ wait $!; cat raised.out
  HTTP/1.1 200
