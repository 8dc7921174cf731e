Guards against changes of a large configuration that take all of a small share of a
processor, so that requests beside them are refused or get no answer at all.

Runs alone: it measures what a share of a processor does.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1

1,400 more routes, all of one host; four changes a second, each of one route. The
daemon has 0.04 of a processor.

  $ many_routes() { seq 1400 | awk -v n="$1" '{ printf ",{\"name\":\"more-%d\",\"host\":\"h.example\",\"path_prefix\":\"/more%d/\",\"kind\":\"idempotent\",\"service\":\"app\",\"max_attempts\":5,\"timeout_ms\":%d,\"target_latency_ms\":300,\"priority\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}", $1, $1, $1 == n % 1400 ? 1400 : 1500 }'; }
  $ put_config "$(many_routes 1)"; sleep 1; status /look/ok
  200
  $ python3 "$TOP/regress/small_share.py" $d1_pid 0.04 14 &
  $ (for i in $(seq 40); do put_config "$(many_routes $i)"; sleep 0.2; done) &
  $ sleep 0.5; python3 "$TOP/regress/unanswered.py" $CALLER_ADDR 9
  0 without an answer or a refusal
  nine of ten or more served

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
