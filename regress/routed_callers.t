Guards against a whole request that gets no answer, or two, and against a refusal
that isn't true, while the configuration changes or a settings file is read again.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ MOVED() { echo ",{\"name\":\"moved\",\"host\":\"h.example\",\"path_prefix\":\"/moved/\",\"kind\":\"non_idempotent\",\"service\":\"$1\",\"max_attempts\":2,\"timeout_ms\":5000,\"target_latency_ms\":8000}"; }
  $ put_config "$(MOVED app)"
  $ start_server app1 app a; start_server more1 more a
  $ start_routed d1
  $ caller() { "$TOP/regress/caller.py" $CALLER_ADDR "$@"; }
  $ in_force() { grep -q "\"event\":1602.*\"version\":\"$CONFIG_VERSION\"" d1.log; }

  $ change() { # NAME COMMAND ACTION...
  >   rm -f sent go; local command=$1; shift
  >   caller "$@" >change.out 2>&1 & local pid=$!
  >   await test -e sent; eval "$command"; await in_force; touch go
  >   wait $pid; cat change.out
  > }

Half of a head or of a body was received when the limits shrink: the request keeps
those that it began with.

  $ change 'HEADER_MS=50 put_config "$(MOVED app)"' part:/open/ok:h1 touch:sent await:go sleep:0.1 rest read
  200
  $ put_config "$(MOVED app)"; await in_force
  $ change 'IDLE_MS=100 put_config "$(MOVED app)"' head:/moved/ok:b1:4000 body:2000 touch:sent await:go sleep:1.2 body:2000 read
  200
  $ change 'BODY_BYTES=1000 put_config "$(MOVED app)"' head:/open/ok:b2:4000 body:2000 touch:sent await:go sleep:0.1 body:2000 read
  200
  $ put_config "$(MOVED app)"; await in_force
  $ change 'put_config "$(MOVED app)"' head:/moved/ok:b3:4000 body:2000 touch:sent await:go sleep:1 body:2000 read
  200

They grow: a request that is being received takes the longer times.

  $ HEADER_MS=500 IDLE_MS=500 put_config "$(MOVED app)"; await in_force
  $ change 'HEADER_MS=3000 IDLE_MS=3000 put_config "$(MOVED app)"' part:/moved/ok:g1 touch:sent await:go sleep:1 rest read
  200
  $ HEADER_MS=500 IDLE_MS=500 put_config "$(MOVED app)"; await in_force
  $ change 'HEADER_MS=3000 IDLE_MS=3000 put_config "$(MOVED app)"' head:/moved/ok:g2:4000 body:2000 touch:sent await:go sleep:1 body:2000 read
  200

The route goes, or moves to another service, while the request is received.

  $ put_config "$(MOVED app)"; await in_force
  $ change 'put_config' head:/moved/ok:m1:4000 body:2000 touch:sent await:go body:2000 read left
  404 not_run
  none
  $ put_config "$(MOVED app)"; await in_force
  $ change 'put_config "$(MOVED more)"' head:/moved/ok:m2:4000 body:2000 touch:sent await:go body:2000 read left
  200
  none
  $ grep -c '^m1 ' runs.log; grep '^m2 ' runs.log
  0
  m2 more

It does so while the request waits for a server of a service that has none, or is
at its server.

  $ put_config "$(MOVED none)"; await in_force
  $ change 'put_config' head:/moved/ok:w1 touch:sent await:go read left
  503 not_run
  none
  $ put_config "$(MOVED none)"; await in_force
  $ change 'put_config "$(MOVED more)"' head:/moved/ok:w2 touch:sent await:go read left
  503 not_run
  none
  $ put_config "$(MOVED app)"; await in_force
  $ change 'put_config' head:/moved/slow:w3 sleep:0.1 touch:sent await:go read left
  200
  none
  $ grep -c '^w[12] ' runs.log; grep -c '^w3 ' runs.log
  0
  1

The daemon is stopped for a moment: the change and the last bytes are there together.

  $ for i in 1 2 3 4; do
  >   put_config "$(MOVED app)"; await in_force
  >   rm -f sent; caller head:/moved/ok:s$i:4000 body:2000 sleep:0.05 signal:STOP:$d1_pid body:2000 touch:sent read left >stop.out & pid=$!
  >   await test -e sent; put_config; sleep 0.1; kill -CONT $d1_pid; wait $pid
  >   ran=$(grep -c "^s$i " runs.log); head -n 1 stop.out | sed "s/^200$/ran $ran/; s/^404 not_run$/refused $ran/" | sed 's/^ran 1$/right/; s/^refused 0$/right/'; sed 1d stop.out
  > done >stops.out; sort stops.out | uniq -c
        4 none
        4 right

A pipelined request behind one that is served.

  $ put_config "$(MOVED app)"; await in_force
  $ change 'IDLE_MS=100 HEADER_MS=100 put_config' head:/moved/slow:p1 head:/open/ok:p2 touch:sent await:go read read left
  200
  200
  none
  $ put_config "$(MOVED app)"; await in_force
  $ change 'BODY_BYTES=1000 put_config "$(MOVED app)"' head:/moved/slow:p3 head:/open/ok:p4:2000 body:2000 touch:sent await:go read read left
  200
  200
  none

Its time began when it was received, not when the one before it was answered.

  $ put_config "$(MOVED app)"; await in_force
  $ DEADLINE=900 caller head:/moved/slow:t1 head:/open/ok:t2 read read
  200
  200
  $ field app1 seen | tr "'" '"' | sed 's/None/null/g' | python3 -c 'import json,sys; print(json.load(sys.stdin)[-1]["deadline"] <= 520)'
  True

An idle connection keeps the idle timeout of its last request; the shorter one holds
from the next, and the close comes config_in_force_ms (2 s) after it.

  $ IDLE_MS=3000 put_config "$(MOVED app)"; await in_force
  $ change 'IDLE_MS=300 put_config "$(MOVED app)"' head:/open/ok:i1 read touch:sent await:go sleep:1 head:/open/ok:i2 read end
  200
  200
  closed

A longer one that is confirmed before the end of the old one, but reaches the daemon
later, in the time that it has: the connection is still open.

  $ IDLE_MS=1500 put_config "$(MOVED app)"; await in_force
  $ store_fault '{"mode": "silent"}'; sleep 1.5; rm -f sent; caller head:/open/ok:i3 read touch:sent sleep:3 head:/open/ok:i4 read >late.out & pid=$!
  $ await test -e sent; sleep 1; IDLE_MS=8000 put_config "$(MOVED app)"; in_force || echo not yet; sleep 0.8; store_fault '{"mode": "ok"}'
  not yet
  $ wait $pid; cat late.out
  200
  200
  $ put_config "$(MOVED app)"; await in_force

Responses name the time in which the connection may be used again, four fifths of the
idle timeout that holds for it, in whole seconds, unless it is closed.

  $ named() { send_request /open/ok -D named.head "$@" >/dev/null; grep -i -o '^keep-alive: [a-z0-9=]*' named.head || echo none; }
  $ named; send_request /open/unknown/../../nowhere -D named.head >/dev/null; grep -i -c '^keep-alive: timeout=4' named.head
  Keep-Alive: timeout=4
  1
  $ named -H 'Connection: close'
  none
  $ IDLE_MS=1200 put_config "$(MOVED app)"; await in_force; named
  none
  $ IDLE_MS=12500 put_config "$(MOVED app)"; await in_force; named
  Keep-Alive: timeout=10
  $ put_config "$(MOVED app)"; await in_force

The settings file is read again meanwhile.

  $ rm -f sent go; caller head:/open/ok:u1:4000 body:2000 touch:sent await:go body:2000 read head:/open/slow:u2 head:/open/ok:u3 signal:HUP:$d1_pid read read left >hup.out & pid=$!
  $ await test -e sent; kill -HUP $d1_pid; await grep -q '"event":100[45]' d1.log; touch go; wait $pid; cat hup.out
  200
  200
  200
  none

What isn't answered is logged.

  $ caller head:/open/ok:l1:4000 body:2000; await grep -q '"event":1123' d1.log
  $ grep -o '"event":1123.*"reason":"the caller closed it","state":"reading","bytes":"[0-9]*","unsent":"0"' d1.log | grep -c .
  1
  $ caller part:/open/ok:l2 read end
  408 close
  closed
  $ grep -o '"event":1125.*"status":"408"' d1.log | grep -c .
  1
  $ grep -c '"event":1124.*"reason":"its time is over".*"limit_ms":"2300"' d1.log
  1
