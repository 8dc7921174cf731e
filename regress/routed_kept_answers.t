Guards against an answer of the head of one server and the body of another one, against a
half of an answer that looks whole and against a status that no server gave, when a lookup
goes back to its first server, whose answer has begun, as the second one broke off.

Runs alone: answers have to come within the time that the callers name.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config ',{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","service":"app","max_attempts":2,"timeout_ms":9000,"target_latency_ms":3000}'
  $ for z in a b c d e f; do start_server app$z app $z; done
  $ start_routed d1 ',"repeat_ratio":4'
  $ python3 "$TOP/regress/kept_answers.py" $CALLER_ADDR /read/
  72 checked
  $ [ "$(grep -c '"event":1127' d1.log)" -ge 48 ] && echo went back
  went back
