Guards against requests placed on an instance marked for departure, and against
a daemon that serves with an outdated configuration after a pause.

  $ . "$TOP/regress/control.sh"
  $ start_platform
  $ start_engine e1; start_engine e2
  $ start_three_daemons
  $ await runs_on $d1_url e1; await runs_on $d2_url e2

No daemon places requests on a departing instance.

  $ ctl $d1_ops depart e1
  version 2
  $ ctl $d1_ops wait 2
  version 2 is in effect on 3 of 3 daemons
  $ runs=$(stat $e1_url runs)
  $ for i in 1 2 3 4 5 6 7 8 9 10; do
  >   for url in $d1_url $d2_url $d3_url; do
  >     call $url '{"model":"draft","prompt":"p","max_tokens":1}' >>out
  >   done
  > done
  $ echo $(($(stat $e1_url runs) - runs))
  0
  $ ctl $d2_ops status | grep -o '^instance e1.*leaving'
  instance e1 a slots [0-9]* running 0 queued 0 leaving (re)
  $ ctl $d3_ops return e1
  version 3
  $ await at_version $d2_ops 3; await runs_on $d2_url e1

A daemon is paused, and a request waits there while its account is removed. When
it resumes it refuses the request: its version must be confirmed first.

  $ kill -STOP $d2_pid
  $ call $d2_url '{"model":"draft","prompt":"p","max_tokens":1}' -m 20 >out &
  $ caller=$!; sleep 4
  $ echo '{"accounts":{"quick":null}}' | ctl $d1_ops config set -
  version 4
  $ kill -CONT $d2_pid; wait $caller
  $ grep -o '"code":"[a-z_]*"\|text_completion' out
  "code":"(unauthorized|wrong_key|not_in_effect|unavailable)" (re)
  $ await at_version $d2_ops 4
