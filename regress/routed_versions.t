Guards against streams that are joined from two software versions of engines: in
one answer, when an engine breaks off, and at a daemon where a caller resumes.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR; start_routed d2; D2=$CALLER_ADDR
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -D $3.head -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ joined() { n=0; for i in $1; do [ $(versions $2$i.out ${3:+$3$i.out} | wc -w) = 2 ] || n=$((n + 1)); done; [ $n = 0 ] && echo none || echo some; }

  $ draft $D1 once-die one; versions one.out
  8 v1
  $ await has_base llm v1

Two versions: what breaks off within an answer goes on at its version.

  $ start_server new1 llm a engine v2; start_server new2 llm b engine v2; start_server new3 llm c engine v2; sleep 0.5
  $ for i in $(seq 12); do draft $D1 once-die in$i; done; cat in*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" in
  none

A caller that takes its stream up at another daemon names the first try.

  $ for i in $(seq 12); do MAX_S=0.8 draft $D1 slow f$i & done; wait $(jobs -p | tail -n 12) || true
  $ for i in $(seq 12); do draft $D2 ok r$i $(grep -c '^id:' f$i.out) f$i; done; cat r*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" f r
  none

The daemon that began the streams is killed, and another one starts: the records are
in the store.

  $ for i in $(seq 12); do MAX_S=0.8 draft $D1 slow k$i & done; wait $(jobs -p | tail -n 12) || true
  $ kill -9 $d1_pid; wait $d1_pid 2>/dev/null; start_routed d3; D3=$CALLER_ADDR
  $ for i in $(seq 12); do draft $D3 ok l$i $(grep -c '^id:' k$i.out) k$i; done; cat l*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" k l
  none
  $ grep '"event":1122' d3.log | grep -o '"source":"[a-z]*"' | sort -u
  "source":"record"

Without the store, a daemon that can't tell the version refuses to go on, and streams
begin at the base version, which needs no record. They go on afterwards.

  $ for i in $(seq 6); do MAX_S=0.8 draft $D2 slow m$i & done; wait $(jobs -p | tail -n 6) || true
  $ store_fault '{"mode": "busy"}'; for i in $(seq 6); do draft $D3 ok n$i $(grep -c '^id:' m$i.out) m$i; done; cat n*.out | grep -c '^503$'
  6
  $ grep -h -o 'version_unknown' n*.out | sort | uniq -c | xargs; grep -h -c -i '^retry-after' n*.head | sort -u
  6 version_unknown
  1
  $ sleep 1.5; for i in $(seq 6); do draft $D3 ok t$i; done; versions t*.out
  48 v1
  $ store_fault '{"mode": "ok"}'; sleep 2; for i in $(seq 6); do draft $D3 ok n$i $(grep -c '^id:' m$i.out) m$i; done; cat n*.out | grep -c '^200$'
  6
  $ joined "$(seq 6)" m n
  none

An id of another account's stream says nothing of that stream: it is taken for one
that isn't on record. So is one of two kilobytes.

  $ V2=$(for i in $(seq 12); do [ "$(versions k$i.out | cut -d' ' -f2)" = v2 ] && echo k$i; done | head -n 1)
  $ operator "$(curl -s "http://$STORE/v1/kv-key?key=op%2Fconfig" | python3 -c '
  > import base64, json, sys
  > value = json.loads(base64.b64decode(json.load(sys.stdin)["value"]))
  > value["version"] += 1
  > value["tenants"].append({"name": "south", "api_keys": ["key-9"]})
  > print(json.dumps({"key": "op/config", "value": value}))')"; sleep 0.6
  $ south() { curl -sN --max-time 10 "http://$D3/draft/ok" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $1" -H "Authorization: Token key-9" -H "Goldcrestfield-Deadline-Ms: 9000" -H "Last-Event-Id: 3" -H "Resumes: $2" >$1.out; versions $1.out; }
  $ south s1 $V2; south s2 $(printf 'x%.0s' $(seq 1500))
  5 v1
  5 v1

The store goes back to a copy that lacks the records and the base version: daemons
write theirs again, and until then no stream counts as not recorded.

  $ operator '{"key":"goldcrest/version/llm","remove":true}'; operator '{"key":"goldcrest/version/app","remove":true}'; store_fault '{"checkpoint": true}'; sleep 2
  $ for i in $(seq 12); do MAX_S=0.8 draft $D2 slow p$i & done; wait $(jobs -p | tail -n 12) || true
  $ store_fault '{"restore": true}'; for i in $(seq 12); do draft $D3 ok q$i $(grep -c '^id:' p$i.out) p$i; done; tail -q -n 1 q*.out | grep -c '^[0-9]*$'
  12
  $ for i in $(seq 12); do grep -q '^200$' q$i.out || rm q$i.out; done; joined "$(seq 12)" p q 2>/dev/null
  none
  $ sleep 4; for i in $(seq 12); do draft $D3 ok q$i $(grep -c '^id:' p$i.out) p$i; done; cat q*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" p q 2>/dev/null
  none

A caller that names no stream gets no answer that may be joined.

  $ draft $D3 ok unnamed 3; grep -o version_unknown unnamed.out
  version_unknown

A version that has gone for good: the answer comes at once.

  $ U=0; until [ "$(versions u$U.out 2>/dev/null | cut -d' ' -f2)" = v1 ]; do U=$((U + 1)); MAX_S=0.8 draft $D2 slow u$U || true; done
  $ kill $old1_pid $old2_pid; for s in old1 old2; do operator "{\"key\":\"servers/$s\",\"remove\":true}"; done; sleep 0.6
  $ curl -s -o gone.out -w '%{http_code} %{time_total}\n' "http://$D3/draft/ok" -H "Host: h.example" -H "Goldcrestfield-Request-Id: gone" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" -H "Last-Event-Id: 3" -H "Resumes: u$U" | awk '{ print $1, ($2 < 0.2) }'; grep -o version_gone gone.out
  503 1
  version_gone

Servers whose entries name no version have one of their own.

  $ start_server none1 llm a engine none; start_server none2 llm b engine none; for s in new1 new2 new3; do operator "{\"key\":\"servers/$s\",\"remove\":true}"; done; sleep 0.6
  $ MAX_S=0.8 draft $D2 slow w1; draft $D3 ok w2 $(grep -c '^id:' w1.out) w1; tail -n 1 w2.out; versions w1.out w2.out
  200
  8 none
