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
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(request % 1)
  > assert b"200" in s.recv(65536)[:12]
  > time.sleep(idle_s - 0.3)
  > os.kill(pid, signal.SIGSTOP)
  > time.sleep(0.6)
  > s.sendall(request % 2)
  > time.sleep(0.1)
  > os.kill(pid, signal.SIGCONT)
  > try:
  >     print(s.recv(65536)[:12].decode() or "closed")
  > except ConnectionResetError:
  >     print("reset")
  > END

The idle timeout is 5 s.

  $ python3 idle.py $CALLER_ADDR $d1_pid 5
  HTTP/1.1 200

A change that raises the timeout holds for connections that are idle already.

  $ cat >raised.py <<'END'
  > import socket, sys, time
  > host, port = sys.argv[1].split(":")
  > request = (b"GET /look/ok HTTP/1.1\r\nHost: h.example\r\n"
  >            b"Goldcrestfield-Request-Id: r%d\r\n"
  >            b"Authorization: Token key-1\r\n\r\n")
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(request % 3)
  > assert b"200" in s.recv(65536)[:12]
  > time.sleep(float(sys.argv[2]))
  > try:
  >     s.sendall(request % 4)
  >     print(s.recv(65536)[:12].decode() or "closed")
  > except OSError:
  >     print("reset")
  > END
  $ python3 raised.py $CALLER_ADDR 6.2 >raised.out & sleep 1; IDLE_MS=8000 put_config
  $ wait $!; cat raised.out
  HTTP/1.1 200
