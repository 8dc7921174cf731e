Guards against a request that waits to its time limit, or without end, for something
that never answers: the table "What a request waits for" in docs/platform.md.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ route() { echo "{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"kind\":\"$2\",\"service\":\"$3\",\"max_attempts\":3,\"timeout_ms\":$4,\"target_latency_ms\":2000${5-}}"; }
  $ STREAM=',"target_gap_ms":700,"resumable":true'
  $ start_store

timed MIN MAX PATH [OPTION...]: prints the end of the response, its code if it is a
refusal, and whether it took from MIN to MAX ms.

  $ timed() {
  >   local min=$1 max=$2 path=$3; shift 3
  >   curl -sN --max-time 12 -o timed.out -w '%{http_code} %{time_total}\n' "http://$CALLER_ADDR$path" \
  >     -H "Host: h.example" -H "Goldcrestfield-Request-Id: r$(date +%N)" -H "Authorization: Token key-1" \
  >     -H "Goldcrestfield-Deadline-Ms: ${DEADLINE-9000}" "$@" >timed.txt
  >   awk -v min=$min -v max=$max '{ ms = $2 * 1000; print $1, (ms >= min && ms <= max ? "in time" : ms) }' timed.txt
  >   grep -o '"code":"[a-z_]*"\|"run":"[a-z_]*"' timed.out | cut -d: -f2 | xargs
  > }

The first configuration: the store never answers.

  $ ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$CALLER_ADDR/")" != 000 ]; }
  $ store_fault '{"mode": "silent"}'
  $ start_routed d0
  $ timed 100 350 /look/ok
  503 in time
  not_ready not_run
  $ kill_9 $d0_pid; store_fault '{"mode": "ok"}'
  $ ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$CONTROL_ADDR/v1/ready")" = 200 ]; }

A server of a service that has none: an eighth of the target latency.

  $ put_config ",$(route none idempotent none 5000),$(route text streaming llm 5000 "$STREAM"),$(route book2 non_idempotent app 1500),$(route read idempotent app 1500),$(route big streaming llm 1500 "$STREAM")"
  $ start_server app1 app a
  $ start_server llm1 llm a engine v1; start_server llm2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR
  $ timed 240 450 /none/ok
  503 in time
  no_server not_run

A server that accepts and never answers: the time limit of the route.

  $ timed 1400 1850 /read/hang
  504 in time
  timeout in_doubt
  $ timed 1400 1850 /book2/hang
  504 in time
  timeout in_doubt

Load reports: an engine is stopped, and the stream goes to the other one; both are, and
the stream is kept at one of them, which may be sound, until the time limit.

  $ kill -STOP $llm1_pid; timed 0 1000 /text/ok; timed 0 1000 /text/ok
  200 in time
  
  200 in time
  
  $ kill -STOP $llm2_pid; timed 4900 5350 /text/ok
  504 in time
  timeout in_doubt
  $ kill -CONT $llm1_pid $llm2_pid; sleep 1

Room: the memory of all engines is used.

  $ memory() { for s in llm1 llm2; do curl -s "http://127.0.0.1:$(cat $s.ports)/memory" -d "{\"used\": $1}" >/dev/null; done; }
  $ memory 1000
  $ timed 200 500 /text/ok -H 'Goldcrestfield-Prompt-Prefix: 01:300' -H 'Goldcrestfield-Token-Counts: 300,100'
  503 in time
  overloaded not_run
  $ memory 0

A caller that doesn't read: the time limit ends the stream and the run.

  $ python3 - $CALLER_ADDR <<'END'
  > import socket, sys, time
  > host, port = sys.argv[1].split(":")
  > s = socket.socket()
  > s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
  > s.connect((host, int(port)))
  > s.sendall(b"GET /big/big HTTP/1.1\r\nHost: h.example\r\nGoldcrestfield-Request-Id: slowcaller\r\n"
  >           b"Authorization: Token key-1\r\n\r\n")
  > time.sleep(2.2)
  > END
  $ grep '"request":"slowcaller"' d1.log | grep -o '"event":111[0125],.*' | grep -o '"message":"[a-z ]*"\|"limit":"[a-z]*"' | xargs
  message:stream aborted limit:time

The end of a response without a length: its server can't be asked whether it was whole.
The request can't be repeated at a second one: the time limit.

  $ timed 1500 1800 /read/unframedstop
  504 in time
  timeout in_doubt
  $ kill -CONT $app1_pid; sleep 0.5

Permits: the daemons that issue them are stopped. Others grant them, and what can't be
served is refused at once.

  $ for d in d2 d3; do start_routed $d; done; sleep 0.5; D3=$CALLER_ADDR
  $ curl -s "http://127.0.0.1:$(cat app1.ports)/headers" -d '{"Server-Limit": "20"}' >/dev/null
  $ CALLER_ADDR=$D1; status /look/ok; CALLER_ADDR=$D3; status /look/ok; kill -STOP $d1_pid $d2_pid
  200
  200
  $ for i in 1 2 3 4 5 6; do timed 0 300 /look/ok; done | grep -v '^$\|not_run' | sort | uniq -c | awk '{ print $3, $4 }' | sort -u
  in time
  $ kill -CONT $d1_pid $d2_pid; curl -s "http://127.0.0.1:$(cat app1.ports)/headers" -d '{}' >/dev/null; sleep 1

The record of a stream's version, and the lookup of one: the store never answers.

  $ CALLER_ADDR=$D3; start_server new1 llm a engine v2; start_server new2 llm b engine v2; start_server new3 llm b engine v2; sleep 0.5
  $ timed 0 2000 /text/ok; timed 0 2000 /text/ok
  200 in time
  
  200 in time
  
  $ kill $llm1_pid $llm2_pid; for s in llm1 llm2; do operator "{\"key\":\"servers/$s\",\"remove\":true}"; done; sleep 0.5
  $ store_fault '{"mode": "silent"}'
  $ timed 1900 2250 /text/ok
  502 in time
  broken in_doubt
  $ timed 0 1000 /text/ok -H 'Last-Event-Id: 3' -H 'Resumes: another'
  503 in time
  version_unknown not_run
  $ store_fault '{"mode": "ok"}'
