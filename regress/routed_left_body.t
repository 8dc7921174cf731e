Guards against a failure that is made of the bodies of two servers, of which the first
was left for its silence.

Runs alone: compares times.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ cp -r "$STANDINS" copy; STANDINS=$PWD/copy; python3 - <<'END'
  > p = "copy/standin_server.py"; s = open(p).read()
  > a = "        if behaviour == \"fail\":\n"
  > assert s.count(a) == 1
  > s = s.replace(a, "        if behaviour == 'hang':\n            await asyncio.sleep(3.4)\n            behaviour = 'fail'\n" + a)
  > s = s.replace("        if self.engine:\n            return await self.stream_events", "        if self.engine and behaviour[0] not in ('hang', 'fail'):\n            return await self.stream_events")
  > s = s.replace('b"failed\\n"', 'b"failed at " + self.id.encode() + b"\\n"')
  > open(p, "w").write(s)
  > END
  $ start_store
  $ put_config ',{"name":"late","host":"h.example","path_prefix":"/late/","kind":"streaming","service":"llm","resumable":true,"max_attempts":2,"timeout_ms":9000,"target_latency_ms":3000,"target_gap_ms":700}'
  $ start_server llm1 llm a engine; start_server llm2 llm a engine
  $ start_routed d1
  $ export DEADLINE=9000
  $ send_request /late/ok >one.out; tail -n 1 one.out
  200
  $ silence() { curl -s -o /dev/null "http://127.0.0.1:$(cat $1.ports)/silence" -d "{\"ms\":$2}"; }
  $ holder() { grep '"message":"attempt started"' d1.log | tail -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4; }
  $ (send_request /late/turns-hang-fail >two.out) & pid=$!; sleep 1.9; silence $(holder) 500; wait $pid
  $ sed 's/llm[0-9]/llmN/' two.out
  failed at llmN
  500
