Guards against runs that continue after the caller disconnected, and against
unbounded buffering for a caller that reads slowly.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --token-ms 10
  $ start_daemon d1 ',"log_level":"debug"'
  $ cancelled_is() { stat_is $e1_url cancelled $1; }
  $ hang_up() { left_ms=$(date +%s%3N); kill_9 $caller; }

The time is taken from the engine's log, as the processes of a poll take part of the
second on a busy machine.

  $ cancelled_within_1s() {
  >   local line ms
  >   await cancelled_is $1
  >   line=$(grep ' 1704 run cancelled ' e1.log | sed -n "$1p")
  >   ms=$(($(date -d "${line%% *}" +%s%3N) - left_ms))
  >   test -n "$line" && test $ms -ge 0 && test $ms -lt 1000 && return
  >   echo "cancelled $ms ms after $left_ms: $line"
  >   grep -h ' 1102 \| 1103 \| 1703 ' d1.log e1.log
  >   return 1
  > }
  $ start_caller() {
  >   rm -f out
  >   curl -sN -H 'Authorization: Bearer quick-key' $d1_url/v1/completions \
  >     -d "{\"model\":\"draft\",\"prompt\":\"$PROMPT\",\"max_tokens\":$1,
  >          \"stream\":$2}" >out &
  >   caller=$!
  > }

The caller disconnects in the middle of a stream: the engine cancels the run
within 1 s.

  $ start_caller 10000 true
  $ await test -s out; hang_up; cancelled_within_1s 1

The same while the engine sends no tokens, and for a response that is not
streamed.

  $ start_caller 10000 true
  $ await test -s out; fault $e1_url '{"fault":"freeze","ms":700}'
  $ hang_up; cancelled_within_1s 2
  $ start_caller 10000 false
  $ sleep 0.5; hang_up; cancelled_within_1s 3

A caller that stops reading: the daemon's memory stays bounded, and the response
is complete after the caller reads again.

  $ start_engine e2 --token-ms 0
  $ fault $e1_url '{"fault":"refuse","count":1000}'
  $ rss_kb() { awk '/^VmRSS/ { print $2 }' /proc/$d1_pid/status; }
  $ on_e2() { tokens out | head -n 1 | grep -q ':e2-'; }
  $ await runs_on $d1_url e2; before=$(rss_kb)
  $ start_caller 60000 true
  $ await on_e2; kill -STOP $caller
  $ all_decoded() { test "$(stat $e2_url decoded)" -ge 60000; }
  $ await all_decoded; sleep 0.5
  $ test $(($(rss_kb) - before)) -lt 10000 || echo "$before KiB, now $(rss_kb) KiB"
  $ kill -CONT $caller; wait $caller; chain out; tail -n 2 out | head -n 1
  whole 60000
  data: [DONE]
