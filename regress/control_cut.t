Guards against a change that goldcrestctl reports as made although the answer was cut: a
daemon answers without a length, and closes or resets the connection in the answer.

  $ cat >cut.py <<'END'
  > import socket, struct, sys, time
  > listener = socket.create_server(("127.0.0.1", 0))
  > listener.settimeout(30)
  > print(listener.getsockname()[1], flush=True)
  > for body in ["", '{"version":2', '{"version":2}']:
  >     for status in ["200 OK", "202 Accepted"]:
  >         for orderly in [True, False]:
  >             if body.endswith("}") and not orderly:
  >                 continue
  >             conn, _ = listener.accept()
  >             conn.recv(4096)
  >             conn.sendall(f"HTTP/1.1 {status}\r\n\r\n{body}".encode())
  >             if orderly:
  >                 conn.shutdown(socket.SHUT_WR)
  >             time.sleep(0.05)
  >             conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
  >             conn.close()
  > END
  $ python3 cut.py >port & sleep 0.1; until [ -s port ]; do sleep 0.05; done
  $ echo '{}' >change.json; export GOLDCREST_OPERATOR_KEY=k
  $ set_config() { goldcrestctl --url http://127.0.0.1:$(cat port) config set --version 1 change.json 2>&1; echo "exit $?"; }
  $ for i in 1 2 3 4 5 6 7 8; do set_config; done | sed 's/^.*0\.1:[0-9]*: //' | sort | uniq -c | sed 's/^ *//'
  4 Failure when receiving data from the peer
  8 exit 1
  4 the response is incomplete

A whole answer may end with its connection.

  $ set_config
  version 2
  exit 0
  $ set_config | tail -n 1
  exit 5
