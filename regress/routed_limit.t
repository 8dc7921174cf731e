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
  >   for s in app1 app2 app3; do headers $s "{\"Server-Limit\": \"$value\"}"; done; load send 60 0.3 /look/ok $ADDRS
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

  $ headers app3 '{}'; for s in app1 app2; do headers $s '{"Server-Limit": "5.2"}'; done; load send 60 1 /look/ok $ADDRS
  200:60
  $ SINCE=$(now); load send 60 8 /look/ok $ADDRS
  200:480
  $ for s in app1 app2; do echo $(($(load worst $SINCE $s.ports) <= 36)) $(($(load count $SINCE $s.ports) >= 21)); done
  1 1
  1 1

All requests come to one daemon: it may use the whole limit.

  $ SINCE=$(now); load send 60 5 /look/ok $CALLER_ADDR
  200:300
  $ for s in app1 app2; do echo $(($(load worst $SINCE $s.ports) <= 36)) $(($(load count $SINCE $s.ports) >= 18)); done
  1 1
  1 1

All three are limited. What can't be served is refused at once, as not run, with
times to come back between the next permit and a third of the time limit.

  $ headers app3 '{"Server-Limit": "5"}'; load send 60 1 /look/ok $ADDRS >warm.out
  $ SINCE=$(now); load send 60 6 /look/ok $ADDRS >out.txt; grep -c '^200:[0-9]* 503:[0-9]*$' out.txt
  1
  $ for s in app1 app2 app3; do echo $(($(load worst $SINCE $s.ports) <= 36)) $(($(load count $SINCE $s.ports) >= 22)); done
  1 1
  1 1
  1 1
  $ (load send 60 2 /look/ok $ADDRS >back.out) & sleep 0.5; for i in $(seq 30); do send_request /look/ok -D head$i.txt -w '%{http_code} %{time_total}\n' -o /dev/null; done | awk '$1 == 503 { n++; late += $2 > 0.15 } END { print (n > 5), late + 0 }'; wait $!
  1 0
  $ cat head*.txt | grep -i -o 'retry-after: [0-9.]*' | awk '{ if (!n || $2 < low) low = $2; if ($2 > high) high = $2; n++ } END { print (low >= 0.25), (high <= 1.01), (high - low > 0.3) }'
  1 1 1

The limits end: one daemon hears it from the server, the others from the issuer or
from an answer of their own, and all requests are served again within a second.

  $ for s in app1 app2 app3; do headers $s '{}'; done; sleep 0.3; load send 60 1 /look/ok $ADDRS >warm.out
  $ load send 60 1 /look/ok $ADDRS
  200:60

The daemons that issue the permits are killed or stand still: the sum holds, and
requests are served by the server without a limit.

  $ headers app3 '{}'; for s in app1 app2; do headers $s '{"Server-Limit": "5.2"}'; done; load send 60 1 /look/ok $ADDRS
  200:60
  $ kill -9 $d1_pid $d2_pid $d3_pid; wait $d1_pid $d2_pid $d3_pid 2>/dev/null; kill -STOP $d4_pid; LEFT=$(echo $ADDRS | cut -d' ' -f5-)
  $ SINCE=$(now); load send 60 8 /look/ok $LEFT
  200:480
  $ for s in app1 app2; do echo $(($(load worst $SINCE $s.ports) <= 36)); done; kill -CONT $d4_pid
  1
  1

Servers that take nothing get a request now and then, whose response tells
the end of the limit.

  $ for s in app1 app2; do headers $s '{"Server-Limit": "0"}'; done; load send 60 1 /look/ok $LEFT
  200:60
  $ SINCE=$(now); load send 60 6 /look/ok $LEFT
  200:360
  $ for s in app1 app2; do echo $(($(load worst $SINCE $s.ports) <= 5)); headers $s '{}'; done
  1
  1
  $ load send 60 6 /look/ok $LEFT
  200:360
  $ headers app3 '{"Server-Limit": "0"}'; load send 60 1 /look/ok $LEFT
  200:60
  $ SINCE=$(now); load send 60 2 /look/ok $LEFT; echo $(($(load count $SINCE app3.ports) <= 3)); headers app3 '{}'; load send 60 3 /look/ok $LEFT
  200:120
  1
  200:180

A server that starts again has no limit, although it had one before under this id.

  $ headers app1 '{"Server-Limit": "0"}'; load send 60 1 /look/ok $LEFT
  200:60
  $ kill $app1_pid; headers app2 '{"Server-Limit": "5.2"}'; start_server app1 app a; sleep 0.3; load send 60 1 /look/ok $LEFT
  200:60
  $ SINCE=$(now); load send 60 2 /look/ok $LEFT; echo $(($(load count $SINCE app1.ports) > 20))
  200:120
  1

Streams: load queries count, too. A limited engine still gets streams.

  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine; sleep 0.3
  $ for s in llm1 llm2; do headers $s '{"Server-Limit": "6"}'; done; load send 10 2 /draft/ok $LEFT
  200:20
  $ SINCE=$(now); load send 10 6 /draft/ok $LEFT
  200:60
  $ for s in llm1 llm2; do echo $(($(load worst $SINCE $s.ports) <= 41)) $(($(load count $SINCE $s.ports) >= 10)); done
  1 1
  1 1
  $ headers llm3 '{"Server-Limit": "6"}'; load send 5 2 /draft/ok $LEFT >warm.out; SINCE=$(now); load send 5 5 /draft/ok $LEFT
  200:25
  $ for s in llm1 llm2 llm3; do echo $(($(load worst $SINCE $s.ports) <= 41)); done
  1
  1
  1
