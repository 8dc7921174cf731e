Guards against changes of a large configuration that take all of a small share of a
processor, so that requests beside them are refused or get no answer at all.

Runs alone: it measures what a share of a processor does.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1

1,400 more routes, all of one host; four changes a second, each of one route. The
daemon has 0.04 of a processor. The 20th and all later ones lack the second key, which
isn't admitted for longer than revoke_ms (5 s) after that was written.

  $ many_routes() { seq 1400 | awk -v n="$1" '{ printf ",{\"name\":\"more-%d\",\"host\":\"h.example\",\"path_prefix\":\"/more%d/\",\"kind\":\"idempotent\",\"service\":\"app\",\"max_attempts\":5,\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}", $1, $1, $1 == n % 1400 ? 1400 : 1500 }'; }
  $ put_config "$(many_routes 1)"; sleep 1; status /look/ok
  200
  $ python3 "$TOP/regress/small_share.py" $d1_pid 0.04 12 & share=$!
  $ now_ms() { date +%s%3N; }
  $ (for i in $(seq 40); do if [ $i -lt 20 ]; then put_config "$(many_routes $i)"; else put_config "$(many_routes $i)" ''; fi; [ $i -ne 20 ] || now_ms >revoked; sleep 0.2; done) & changes=$!
  $ (while kill -0 $changes 2>/dev/null; do sent=$(now_ms); echo $sent $(AUTH=' Token key-2' status /look/ok); sleep 0.1; done >second_key) & second=$!
  $ sleep 0.5; python3 "$TOP/regress/unanswered.py" $CALLER_ADDR 9
  0 without an answer or a refusal
  nine of ten or more served
  $ wait $share $changes $second
  $ awk -v revoked=$(cat revoked) '{ n[$2]++ } $2 == 200 && $1 > revoked + 5000 { late++ } END { print (n[200] > 0 ? "admitted before" : "never admitted"), (n[401] > 0 ? "refused after" : "never refused"), late + 0, "late" }' second_key
  admitted before refused after 0 late

The log names the steps of a change, the metrics the longest turn of each loop.

  $ grep '"event":1602' d1.log | grep -c '"bytes":"3[0-9]*","read_us":"[0-9]*"' | grep -v '^[0-9]$'
  [1-9][0-9]+ (re)
  $ metrics() { curl -s "http://$CONTROL_ADDR/metrics" | grep "^goldcrest_$1" | sed 's/ [0-9]*$//' | sort; }
  $ metrics config_change_us; metrics loop_longest_turn_us
  goldcrest_config_change_us{step="publish"}
  goldcrest_config_change_us{step="read"}
  goldcrest_config_change_us{step="view"}
  goldcrest_loop_longest_turn_us{loop="control"}
  goldcrest_loop_longest_turn_us{loop="traffic"}

Daemons hand on what changed, not the whole record: a change of one of 1,400 routes is
under 1,000 bytes for a daemon that has the former one. Others get all of it,
compressed unless they are of an earlier version.

  $ CONFIG_VERSION=1000
  $ revision() { grep '"event":1602' d1.log | tail -n 1 | sed 's/.*"revision":"\([0-9]*\)".*/\1/'; }
  $ put_config "$(many_routes 7)"; sleep 1; before=$(revision)
  $ put_config "$(many_routes 9)"; sleep 1; [ $(revision) -gt $before ] && echo taken
  taken
  $ changes() { curl -s "http://$PEER_ADDR/peer/changes?after=$1&era=1&wait_ms=0$2" >changes.json; python3 -c 'import json; d = json.load(open("changes.json")); print(*sorted(m for i in d["items"] for m in i if i["key"] == "op/config"))'; wc -c <changes.json | awk '{ print ($1 < 1000 ? "under 1,000 bytes" : $1 > 400000 ? "all" : $1 < 40000 ? "under 40,000" : $1) }'; }
  $ changes $before '&compact=1'
  edits former hash key revision
  under 1,000 bytes
  $ changes $before
  key revision value
  all
  $ changes $((before - 1)) '&compact=1'
  compressed key revision
  under 40,000

A daemon that puts its configuration together from such edits (the third one asks the
others instead of the store) serves what the last one says.

  $ start_routed d2; start_routed d3; sleep 1
  $ for i in 11 12 13; do put_config "$(many_routes $i)"; sleep 0.3; done
  $ put_config "$(many_routes 14),{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":\"/new/\",\"kind\":\"idempotent\",\"service\":\"app\"}"
  $ served() { [ "$(status /new/ok) $(status /more1400/ok) $(status /more1/ok)" = "200 200 200" ]; }
  $ await served
  $ put_config "$(many_routes 15)"; gone() { [ "$(status /new/ok) $(status /more15/ok)" = "404 200" ]; }; await gone

So does one that gets the whole record from another daemon: here each of two texts in
turn, which have little in common. It never has to ask the store instead.

  $ other_routes() { many_routes $1 | sed 's/more/other/g; s/h.example/g.example/g'; }
  $ served_again() { [ "$(status /more2/ok) $(status /new/ok)" = "200 404" ]; }
  $ for i in 1 2; do put_config "$(other_routes $i)"; sleep 0.7; put_config "$(many_routes $i)"; sleep 0.7; done
  $ await served_again
  $ grep -c '"event":1602' d3.log | grep -v '^[0-9]$'
  [1-9][0-9] (re)
  $ grep '"event":1608' d3.log
  [1]
