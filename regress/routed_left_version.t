Guards against streams that leave a silent server before its first event, and whose
events come from a server of another version than is on record for them.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ cp -r "$STANDINS" copy; STANDINS=$PWD/copy; python3 - <<'END'
  > p = "copy/standin_server.py"; s = open(p).read()
  > a = "        writer.write(wire.response_head(200, headers))\n        disconnected ="
  > assert s.count(a) == 1
  > open(p, "w").write(s.replace(a, "        if behaviour == 'wait':\n            await asyncio.sleep(3.5)\n            behaviour = 'ok'\n" + a))
  > END
  $ start_store
  $ put_config ',{"name":"late","host":"h.example","path_prefix":"/late/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":3000,"target_gap_ms":700}'
  $ start_server old1 llm a engine v1
  $ start_routed d1; D1=$CALLER_ADDR; start_routed d2; D2=$CALLER_ADDR
  $ draft() { curl -sN --max-time 10 "http://$1/late/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ draft $D1 ok one; versions one.out
  8 v1
  $ await has_base llm v1
  $ start_server new1 llm a engine v2; start_server new2 llm a engine v2; sleep 0.5
  $ silence() { curl -s -o /dev/null "http://127.0.0.1:$(cat old1.ports)/silence" -d "{\"ms\":$1}"; }
  $ for i in 1 2 3; do (draft $D1 wait w$i) & pid=$!; sleep 2.9; silence 500; wait $pid; draft $D2 ok again$i 3 w$i; done
  $ for i in 1 2 3; do [ "$(versions w$i.out | cut -d' ' -f2-)" = "$(versions again$i.out | cut -d' ' -f2-)" ] && versions w$i.out | wc -w; done
  2
  2
  2
