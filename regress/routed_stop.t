Guards against a planned stop that cuts off requests or that callers detect too
late, and against slow, truncated or ambiguous requests (request smuggling).

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server llm1 llm a engine
  $ start_routed d1

All errors of a settings file are reported at once.

  $ cat >bad.json <<END
  > {"mode":"routed","instance":"","caller":"nowhere","ready":"127.0.0.1:1",
  >  "peer":"127.0.0.1:80x","store":7,"revoke_ms":"soon","log_level":"loud"}
  > END
  $ goldcrestd -n -f bad.json
  goldcrestd: bad.json:
  instance: a string is missing
  failure_domain: a string is missing
  store: a string is missing
  caller: not IP:PORT
  addresses: IP:PORT is missing
  peer: not IP:PORT
  revoke_ms: not a number from 500 to 600000
  log_level: not debug, info, warning or error
  [1]
  $ goldcrestd -n -f d1.json

Truncated, slow and ambiguous requests get an error response and reach no server;
pipelined requests are served.

  $ cat >raw.py <<END
  > import socket, sys, time
  > host, port = sys.argv[1].split(":")
  > s = socket.create_connection((host, int(port)))
  > s.settimeout(5)
  > s.sendall(sys.argv[2].encode().decode("unicode_escape").encode("latin-1"))
  > data = b""
  > try:
  >     while True:
  >         part = s.recv(4096)
  >         if not part: break
  >         data += part
  > except socket.timeout:
  >     data += b" open"
  > print(b" ".join(l for l in data.split(b"\n") if l.startswith(b"HTTP")).decode().replace("\r", ""))
  > END
  $ raw() { python3 raw.py "$CALLER_ADDR" "$1"; }
  $ raw 'POST /book/ok HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
  HTTP/1.1 400 Bad Request
  $ raw 'POST /book/ok HTTP/1.1\r\nHost: h.example\r\nContent-Length : 5\r\n\r\nhello'
  HTTP/1.1 400 Bad Request
  $ raw 'GET /open/ok HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\nConnection: close\r\n\r\n'
  HTTP/1.1 400 Bad Request
  $ raw 'GET /open/ok HTTP/1.1\r\nHost: h.exa'
  HTTP/1.1 408 Request Timeout
  $ raw 'GET /open/ok HTTP/1.1\r\nHost: h.example\r\n\r\nGET /open/ok HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n'
  HTTP/1.1 200 OK HTTP/1.1 200 OK
  $ field app1 runs
  ['', '']

A reload with invalid settings keeps the old ones; metrics are served.

  $ cp d1.json good.json; echo nonsense >d1.json; kill -HUP $d1_pid; sleep 0.2
  $ status /look/ok
  200
  $ grep -c "can't load settings file; keeping current settings" d1.log
  1
  $ mv good.json d1.json; kill -HUP $d1_pid; sleep 0.2; grep -c 'settings read again' d1.log
  1
  $ curl -s "http://$CONTROL_ADDR/metrics" | grep -c '^goldcrest_store_calls_total'
  1

A stop refuses new streams, serves other requests, completes the ones in flight
and removes the daemon's entry from the store.

  $ send_request /look/slow >slow.out & send_request /draft/ok >draft.out &
  $ sleep 0.1; kill -TERM $d1_pid; sleep 0.1
  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$CONTROL_ADDR/v1/ready"
  503
  $ DEADLINE=9000 status /draft/ok
  503
  $ send_request /look/ok -D head.txt -o /dev/null; grep -o 'Connection: close' head.txt
  200
  Connection: close
  $ curl -s "http://$STORE/v1/kv-range?path_prefix=goldcrest/" | grep -o '"key": "[^"]*"' | grep -v '"goldcrest/era"'
  "key": "goldcrest/version/app"
  "key": "goldcrest/version/llm"
  $ for i in $(seq 100); do kill -0 $d1_pid 2>/dev/null || break; sleep 0.05; done
  $ tail -n 1 slow.out; tail -n 1 draft.out
  200
  200
  $ tail -n 1 d1.log | grep -o '"message":"stopped"'
  "message":"stopped"

A stream that does not end keeps the daemon running until the end of its grace
period. Requests that may take longer are refused as not run instead of cut off.

  $ start_routed d2
  $ send_request /draft/mute >mute.out & sleep 0.3; kill -TERM $d2_pid; sleep 1
  $ status /book/ok
  200
  $ sleep 1.7; send_request /book/ok | grep -o '"code":"stopping"\|not_run\|^503'
  "code":"stopping"
  not_run
  503
