Guards against a request inside of another one that is run as a request of its own: the
body of a CONNECT, and what follows a head that servers could read otherwise.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config; start_server app1 app a; start_routed d1
  $ cat >raw.py <<END
  > import socket, sys
  > host, port = sys.argv[1].split(":")
  > inner = ("POST /book/ok HTTP/1.1\r\nHost: h.example\r\nGoldcrestfield-Request-Id: inner\r\n"
  >          "Authorization: Token key-1\r\nGoldcrestfield-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
  > head = sys.argv[2].encode().decode("unicode_escape").replace("LEN", str(len(inner)))
  > s = socket.create_connection((host, int(port)), 3)
  > s.sendall((head + inner).encode("latin-1"))
  > answer = b""
  > while part := s.recv(65536):
  >     answer += part
  > print(*[line.split(" ")[1] for line in answer.decode("latin-1").split("\r\n") if line.startswith("HTTP/1.1 ")])
  > END
  $ inner_runs() { grep -c '^inner ' runs.log; }; touch runs.log

  $ for target in /book/ok h.example:80 '*'; do timeout 4 python3 raw.py $CALLER_ADDR "CONNECT $target HTTP/1.1\r\nHost: h.example\r\nContent-Length: LEN\r\n\r\n"; done; inner_runs
  501
  501
  501
  0
  [1]
  $ for head in 'TRACE / HTTP/1.1\r\nHost: h.example\r\n\r\n' 'PRI * HTTP/2.0\r\n\r\n' \
  >   'GET /look/ok HTTP/1.1\r\nHost: h.example\r\nX: a\r\n b: c\r\n\r\n' 'POST /look/ok HTTP/1.1\r\nHost: h.example\r\nX: a\r\n\tContent-Length: LEN\r\n\r\n' \
  >   'POST /look/ok HTTP/1.1\r\nHost: h.example\r\nContent-Length:\r\n LEN\r\n\r\n'; do timeout 4 python3 raw.py $CALLER_ADDR "$head"; done; inner_runs
  501
  400
  400
  400
  400
  0
  [1]

Nor among daemons.

  $ timeout 4 python3 raw.py $PEER_ADDR 'CONNECT / HTTP/1.1\r\nHost: h\r\nContent-Length: LEN\r\n\r\n'; start_forwarding 2
  501
  $ timeout 4 python3 raw.py $d2_forward 'CONNECT / HTTP/1.1\r\nHost: h\r\nContent-Length: LEN\r\n\r\n'; inner_runs
  501
  0
  [1]

The body of a POST is one, whatever it holds.

  $ timeout 4 python3 raw.py $CALLER_ADDR 'POST /look/ok HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nGoldcrestfield-Request-Id: outer\r\nGoldcrestfield-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: LEN\r\n\r\n'; inner_runs; grep -c '^outer ' runs.log
  200
  0
  1
