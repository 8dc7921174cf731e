Guards against more requests, from all daemons together, than a server that names
a limit takes: each daemon used to ignore the limit.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app a
  $ ADDRS=; for d in d1 d2 d3 d4 d5 d6; do start_routed $d; ADDRS="$ADDRS $CALLER_ADDR"; done
  $ headers() { curl -s "http://127.0.0.1:$(cat $1.ports)/headers" -d "$2" >/dev/null; }
  $ now() { python3 -c 'import time; print(time.monotonic())'; }
  $ load() { "$TOP/regress/limit_load.py" "$@"; }

What isn't a limit is ignored, with a line in the log.

  $ LONG=$(printf '1%.0s' $(seq 1000)); for value in -1 inf nan 0x5 1e3 '' $LONG; do
  >   headers app1 "{\"Server-Limit\": \"$value\"}"; load send 60 0.3 /look/ok $ADDRS
  > done | sort -u
  200:18
  $ cat d?.log | grep '"event":1119' | grep -o '"header":"[^"]*","value":"[^"]\{1,6\}' | sort -u
  "header":"Server-Limit","value":"-1
  "header":"Server-Limit","value":"0x5
  "header":"Server-Limit","value":"111111
  "header":"Server-Limit","value":"1e3
  "header":"Server-Limit","value":"inf
  "header":"Server-Limit","value":"nan

Two of three servers limit themselves; the third takes the rest. Of 5.2 a second,
six times 5.2 and 5 more are allowed in 4 s; what the limit allows is used.

  $ for s in app1 app2; do headers $s '{"Server-Limit": "5.2"}'; done; load send 60 1 /look/ok $ADDRS
  200:60
  $ SINCE=$(now); load send 60 8 /look/ok $ADDRS
  200:480
  $ for s in app1 app2; do echo $(($(load worst $SINCE $s.ports) <= 36)) $(($(load count $SINCE $s.ports) >= 21)); done
  1 1
  1 1
