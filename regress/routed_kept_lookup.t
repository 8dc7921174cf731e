Guards against a lookup that ends with parts of two answers, or without the sound one,
when a second server was asked as the first one was silent for half of its caller's time.

Runs alone: answers have to come within the time that the callers name.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config ',{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","service":"app","max_attempts":2,"timeout_ms":9000,"target_latency_ms":3000}'
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ runs() { wc -l <runs.log; }; touch runs.log
  $ read_in() { DEADLINE=$1 send_request /read/$2 -o own.out; }

A retry that a server got counts: the budget of four within 30 s is used up.

  $ start_routed d1 ',"repeat_ratio":0,"repeat_slack":4,"repeat_window_s":30'
  $ for i in 1 2 3 4 5 6; do n=$(runs); read_in 1000 turns-mostly-unframedsilent >status.out; echo $(cat status.out) $(($(runs) - n)) >>budget.out; sleep 1.6; done
  $ grep -c '^200' budget.out; [ "$(grep -c '2$' budget.out)" -le 4 ] && echo within the budget
  6
  within the budget
  $ kill_9 $d1_pid

The second answer is longer than what is received before any of it is forwarded, and the
first server answers meanwhile; the second one is cut in its middle.

  $ start_routed d2
  $ read_in 1000 turns-mostly-bulky; wc -c <own.out; tr -d B <own.out | wc -c
  200
  200000
  0
  $ read_in 1000 turns-mostly-bulkycut; [ "$(wc -c <own.out)" -lt 200000 ] && tr -d B <own.out | wc -c
  200
  0

The first server sends what is no answer while the second one works.

  $ for end in shed bare fail; do sleep 1; read_in 1000 turns-most$end-slow; grep -c '"target": "/read/' own.out; done
  200
  1
  200
  1
  200
  1

A server within the target isn't avoided for its silence: it gets the next booking.

  $ start_routed d3; read_in 900 mostly; FIRST=$(grep '"message":"attempt started"' d3.log | head -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4)
  200
  $ send_request /book/ok | grep -c "\"server\": \"$FIRST\""
  1

A lookup that crashes its servers later than that is still found out.

  $ start_routed d4; sleep 2.5
  $ read_in 900 mostcrash; await grep -q '"event":1118' d4.log
  504
