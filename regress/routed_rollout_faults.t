Guards against roll-outs that stay undecided, or whose decision is lost, when a daemon or
the store fails, when another order comes, or when an order can't be read; and against
streams that change their version during a roll-out.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ LOAD="$TOP/regress/limit_load.py"; CHECK="$TOP/regress/rollout_load.py"
  $ now() { python3 -c 'import time; print(time.monotonic())'; }
  $ start_store
  $ put_config
  $ for s in old1 old2; do start_server $s app a plain v1; done
  $ for d in 1 2 3 4; do start_routed d$d ',"rollout_share":0.1,"rollout_slack":50'; eval "D$d=$CALLER_ADDR"; done
  $ await knows_daemons 4
  $ bad() { for s in $2; do curl -s "http://127.0.0.1:$(cat $s.ports)/bad" -d "$1" >/dev/null; done; }
  $ bad '{"work_ms": 20}' "old1 old2"
  $ order() { operator "{\"key\":\"op/rollout/$1\",\"value\":$2}"; }
  $ rollout() { order app "{\"service\":\"app\",\"target\":\"$1\",\"duration_s\":7}"; }
  $ await_state() { python3 "$CHECK" await $STORE ${SERVICE-app} $1 12 $2; }
  $ reason() { python3 "$CHECK" field $STORE ${SERVICE-app} reason; }
  $ load() { python3 "$LOAD" send 70 $1 /look/ok $D1 $D2 $D3 ${2-$D4} >look.out & python3 "$LOAD" send 50 $1 /book/ok $D1 $D2 $D3 ${2-$D4} >book.out & }

Orders that can't be followed: the status names the field.

  $ order app '{"service":"app","target":"v9","duration_s":7}'; await_state rolled_back v9; reason | grep -o target | head -n 1
  rolled_back v9
  target
  $ order nothing '{"service":"nothing","target":"v2","duration_s":7}'; SERVICE=nothing await_state rolled_back; SERVICE=nothing reason | grep -o service | head -n 1
  rolled_back v2
  service
  $ order app '{"service":"app","target":"v2","duration_s":"long"}'; sleep 1; reason | grep -o duration_s | head -n 1
  duration_s
  $ order app '{"service":"other","target":"v2","duration_s":7}'; sleep 1; reason | grep -o service | head -n 1
  service
  $ curl -s -o /dev/null -w '%{http_code}\n' http://$D1/look/ok -H 'Host: h.example' -H 'Authorization: Token key-1' -H 'Goldcrestfield-Request-Id: x1'
  200

A second order halfway: the first target gets nothing more.

  $ for s in two1 two2; do start_server $s app a plain v2; done; for s in three1 three2; do start_server $s app a plain v3; done; bad '{"work_ms": 20}' "two1 two2 three1 three2"; sleep 0.7
  $ load 12; rollout v2; await_state running v2; sleep 3; rollout v3; await_state running v3; sleep 0.5; AFTER=$(now)
  running v2
  running v3
  $ await_state succeeded v3; python3 "$CHECK" used $AFTER two1.ports,two2.ports
  succeeded v3
  0
  $ wait $(jobs -p | tail -n 2) || true; cat look.out book.out
  200:840
  200:600

The daemon that judges is killed in the middle: the next one decides.

  $ for s in four1 four2; do start_server $s app a plain v4; done; bad '{"work_ms": 20}' "four1 four2"; sleep 0.7
  $ load 8 $D3; rollout v4; await_state running v4; sleep 2
  running v4
  $ kill_9 $d4_pid; await_state succeeded v4
  succeeded v4

The store is away in the middle: a bad version gets nothing meanwhile, and is taken back.

  $ for s in five1 five2; do start_server $s app a plain v5; done; bad '{"work_ms": 20, "fail": 0.3}' "five1 five2"; sleep 0.7
  $ wait $(jobs -p | tail -n 2) || true; load 9 $D3; rollout v5; await_state running v5; sleep 0.3; store_fault '{"mode": "busy"}'; sleep 2.6; AFTER=$(now); sleep 1
  running v5
  $ python3 "$CHECK" used $AFTER five1.ports,five2.ports; store_fault '{"mode": "ok"}'
  0
  $ await_state rolled_back v5
  rolled_back v5
  $ wait $(jobs -p | tail -n 2) || true

Streams stay with their version while another one is rolled out.

  $ start_server llm1 llm a engine v1; start_server llm2 llm b engine v1; sleep 0.5
  $ draft() { curl -sN --max-time 10 "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" -w '%{http_code}\n' >$3.out; }
  $ draft $D1 ok one; await has_base llm v1
  $ start_server llm3 llm a engine v2; start_server llm4 llm b engine v2; sleep 0.7
  $ order llm '{"service":"llm","target":"v2","duration_s":7}'; SERVICE=llm await_state running v2
  running v2
  $ streams=; for i in $(seq 40); do draft $D1 once-die a$i & streams="$streams $!"; draft $D2 many b$i & streams="$streams $!"; sleep 0.08; done; wait $streams
  $ cat a?.out a??.out b?.out b??.out | grep -c '^200$'
  80
  $ for i in $(seq 40); do for f in a b; do grep -o 'token.*' $f$i.out | cut -d' ' -f3 | sort -u | wc -l; done; done | sort | uniq -c | xargs
  80 1
