Guards against a stream of a daemon in its grace period that ends because its sound
server, silent for a while, was left before another one was reached: a silence is no
reason to end an answer sooner.

Runs alone: compares times.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config
  $ export DEADLINE=9000
  $ start_server llm1 llm a engine
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ silence() { local ms=$1; shift; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/silence" -d "{\"ms\":$ms}"; done; }
  $ whole() { grep -o '^id: [0-9]*' $1 | awk '$2 != NR { print "not in order:", $0 } END { print NR }'; }

A stream of 8 events, one each 150 ms, of a daemon with a grace period of 4 s (3.5 s for
requests), whose servers say nothing for 2.4 s from its SIGTERM on. With one server it is
whole.

  $ start_routed d1
  $ RUNS=$(runs); (send_request /draft/slow >one.out) & pid=$!; running 1; sleep 0.5; kill -TERM $d1_pid; silence 2400 llm1; wait $pid
  $ whole one.out; wait $d1_pid; grep -o '"message":"stream aborted"' d1.log
  8
  [1]

With a second one, as silent, it is whole, too.

  $ start_server llm2 llm b engine; start_routed d2; sleep 0.5
  $ RUNS=$(runs); (send_request /draft/slow >two.out) & pid=$!; running 1; sleep 0.5; kill -TERM $d2_pid; silence 2400 llm1 llm2; wait $pid
  $ whole two.out; wait $d2_pid; grep -o '"message":"stream aborted"' d2.log
  8
  [1]
