Guards against servers that fall over because all daemons together send them more
than they have room for: no daemon knew what the others send, and the retry of a
request that one server turned away was turned away by the next one.

Runs alone: a share of what three servers can take, and answers of daemons in 60 ms.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app a
  $ PORTS="app1.ports app2.ports app3.ports"; ADDRS=; N=0
  $ add_daemons() { for _ in $(seq $1); do N=$((N + 1)); start_routed d$N; ADDRS="$ADDRS $CALLER_ADDR"; done; }
  $ now() { python3 -c 'import time; print(time.monotonic())'; }
  $ load() { "$TOP/regress/limit_load.py" send "$@" '/look/{}/ok' $ADDRS; }
  $ brittle() { "$TOP/regress/brittle_load.py" "$@" $PORTS; }
  $ at_least() { python3 -c "import sys; print(sys.argv[1] if float(sys.argv[1]) < float(sys.argv[2]) else 'ok')" "$@"; }

The servers take 100 requests a second. overload RATE makes them brittle a second
after the load began, with room for two from 3 s later, for 12 s. Of three servers,
at most one falls, although the rule allows 2 + a tenth; of what they can take, 0.9 is
used; from half a second after the begin, each request is served or refused.

  $ brittle set /slots '{"slots": 4, "work_ms": 120, "room": 16}'
  $ after() { python3 -c "import sys; print(float(sys.argv[1]) + float(sys.argv[2]))" "$@"; }
  $ overload() {
  >   SINCE=$(now); (load $1 1.5 >begin.out) & sleep 1
  >   brittle set /brittle '{"n": "6", "room": 2, "after_ms": 3000}'
  >   sleep 0.5; load $1 11 >out.txt; wait $!
  >   FALLS=$(brittle falls $SINCE); [ $FALLS -le 1 ] && echo ok || echo "falls: $FALLS"
  >   at_least $(brittle used $(after $SINCE 4) $(after $SINCE 12)) 0.9
  >   tr ' ' '\n' <out.txt | grep -v '^200:\|^503:'
  >   echo "$N daemons, $1/s: falls $FALLS, used $(brittle used $(after $SINCE 4) $(after $SINCE 12)), turned away $(brittle turned_away $(after $SINCE 1)), of these from 3 s on $(brittle turned_away $(after $SINCE 4)), $(cat out.txt)" >>figures.txt
  >   brittle set /brittle '{}'; sleep 4
  > }
  $ add_daemons 4; load 50 2 >warm.out
  $ metric() { curl -s "http://$CONTROL_ADDR/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }

What isn't a number is ignored, with a line in the log. Sound servers cost nothing.

  $ for value in -1 nan 0x5 many; do
  >   brittle set /brittle "{\"n\": \"$value\", \"room\": 16, \"after_ms\": 60000}"; load 60 0.3
  > done | sort -u
  200:18
  $ cat d?.log | grep '"event":1119' | grep -o '"header":"[^}]*' | sort -u
  "header":"Server-Brittle","value":"-1"
  "header":"Server-Brittle","value":"0x5"
  "header":"Server-Brittle","value":"many"
  "header":"Server-Brittle","value":"nan"
  $ brittle set /brittle '{}'; metric goldcrest_place_asks_total
  0

Below what the servers take, nothing is turned away or refused, at any number.

  $ for n in 6 1 0; do
  >   SINCE=$(now); brittle set /brittle "{\"n\": \"$n\", \"room\": 2, \"after_ms\": 3000}"
  >   load 30 6 | tr ' ' '\n' | grep -v '^200:'; brittle falls $SINCE; brittle turned_away $SINCE
  > done
  0
  0
  0
  0
  0
  0
  $ brittle set /brittle '{}'; load 60 2 >warm.out; load 60 2
  200:120
  $ ASKS=$(metric goldcrest_place_asks_total); load 60 2; echo $(($(metric goldcrest_place_asks_total) - ASKS))
  200:120
  0

Many ask for the same while servers fall over, and nobody is served: their request
isn't blamed for it, and is sent again once they are back.

  $ brittle set /brittle '{"n": "6", "room": 16}'; load 60 1 >warm.out
  $ for s in app1 app2 app3; do
  >   for _ in $(seq 9); do status /look/hang >>same.out & done; sleep 0.15
  >   "$TOP/regress/brittle_load.py" set /fall '{}' $s.ports; sleep 0.5
  > done; sleep 4; status /look/hang; cat d?.log | grep -c '"event":1117'
  504
  0
  [1]
  $ brittle set /brittle '{}'; load 60 2 >warm.out

Twice and five times what the servers take.

  $ overload 200
  ok
  ok
  $ overload 500
  ok
  ok
  $ add_daemons 11; load 50 2 >warm.out
  $ overload 200
  ok
  ok
  $ overload 500
  ok
  ok

The daemons that issue the places are killed or stand still.

  $ kill -9 $d1_pid $d2_pid $d3_pid $d4_pid $d5_pid; wait $d1_pid $d2_pid $d3_pid $d4_pid $d5_pid 2>/dev/null; kill -STOP $d6_pid
  $ ADDRS=$(echo $ADDRS | cut -d' ' -f7-); N=9
  $ SINCE=$(now); (load 200 1.5 >begin.out) & sleep 1
  $ brittle set /brittle '{"n": "6", "room": 2, "after_ms": 3000}'; sleep 0.5; load 200 10 >out.txt; wait $!
  $ FALLS=$(brittle falls $SINCE); [ $FALLS -le 1 ] && echo ok || echo "falls: $FALLS"
  ok
  $ tr ' ' '\n' <out.txt | grep -v '^200:\|^503:'
  [1]
  $ kill -CONT $d6_pid

Streams: an engine without room for another one.

  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine; sleep 0.5
  $ PORTS="llm1.ports llm2.ports llm3.ports"; brittle set /slots '{"slots": 4, "work_ms": 300, "room": 8}'
  $ streams() { "$TOP/regress/limit_load.py" send $1 $2 '/draft/ok?{}' $ADDRS; }
  $ streams 10 2; brittle set /brittle '{"n": "2", "room": 0, "after_ms": 3000}'
  200:20
  $ SINCE=$(now); streams 12 5; brittle falls $SINCE; brittle turned_away $SINCE
  200:60
  0
  0
  $ SINCE=$(now); streams 40 6 | tr ' ' '\n' | grep -v '^200:\|^503:'; FALLS=$(brittle falls $SINCE); [ $FALLS -le 1 ] && echo ok || echo "falls: $FALLS"
  ok
