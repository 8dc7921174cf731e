Guards against a stream that is held until its time limit, though its version can't be
recorded, because it had left a silent server.

Runs alone: compares times.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ cp -r "$STANDINS" copy; STANDINS=$PWD/copy; python3 - <<'END'
  > p = "copy/standin_server.py"; s = open(p).read()
  > a = "        writer.write(wire.response_head(200, headers))\n        disconnected ="
  > assert s.count(a) == 1
  > open(p, "w").write(s.replace(a, "        if behaviour == 'wait':\n            await asyncio.sleep(3.5)\n            behaviour = 'ok'\n" + a))
  > END
  $ start_store
  $ put_config ',{"name":"late","host":"h.example","path_prefix":"/late/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":1500,"target_gap_ms":700}'
  $ start_server old1 llm a engine v1
  $ start_routed d1
  $ export DEADLINE=9000
  $ send_request /late/ok >one.out; tail -n 1 one.out
  200
  $ await has_base llm v1
  $ start_server new1 llm a engine v2; start_server new2 llm a engine v2
  $ kill $old1_pid; operator '{"key":"servers/old1","remove":true}'; sleep 0.6
  $ silence() { curl -s -o /dev/null "http://127.0.0.1:$(cat $1.ports)/silence" -d "{\"ms\":$2}"; }
  $ holder() { grep '"message":"attempt started"' d1.log | tail -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4; }
  $ store_fault '{"mode": "lost"}'; (send_request /late/wait -w '%{http_code} %{time_total}\n' >two.out) & pid=$!; sleep 1.4; silence $(holder) 500; wait $pid
  $ tail -n 1 two.out | awk '{ print $1, ($2 < 3 ? "soon" : "late: " $2) }'; grep -c '^id:' two.out
  502 soon
  0
  [1]
