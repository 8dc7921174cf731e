Guards against runs that go on for callers that hung up, and against memory
that grows with the backlog of a slow caller.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --token-ms 10
  $ start_daemon d1
  $ cancelled() { stat_is $e1_url cancelled $1; }
  $ now_ms() { date +%s%3N; }
  $ within_1s() {
  >   local begin=$(now_ms)
  >   await cancelled $1; test $(($(now_ms) - begin)) -lt 1000
  > }
  $ start_caller() {
  >   rm -f out
  >   curl -sN -H 'Authorization: Bearer quick-key' $d1_url/v1/completions \
  >     -d "{\"model\":\"draft\",\"prompt\":\"$PROMPT\",\"max_tokens\":$1,
  >          \"stream\":$2}" >out &
  >   caller=$!
  > }

A caller that hangs up in the middle of a stream: the engine cancels within a
second.

  $ start_caller 10000 true
  $ await test -s out; kill_9 $caller; within_1s 1

The same while no token comes, and while a whole answer is awaited.

  $ start_caller 10000 true
  $ await test -s out; fault $e1_url '{"fault":"freeze","ms":700}'
  $ kill_9 $caller; within_1s 2
  $ start_caller 10000 false
  $ sleep 0.5; kill_9 $caller; within_1s 3

A caller that doesn't read: the daemon's memory stays bounded, and the answer
is whole when the caller goes on.

  $ start_engine e2 --token-ms 0
  $ fault $e1_url '{"fault":"refuse","count":1000}'
  $ rss_kb() { awk '/^VmRSS/ { print $2 }' /proc/$d1_pid/status; }
  $ on_e2() { tokens out | head -n 1 | grep -q ':e2-'; }
  $ await runs_on $d1_url e2; before=$(rss_kb)
  $ start_caller 60000 true
  $ await on_e2; kill -STOP $caller
  $ decoded() { test "$(stat $e2_url decoded)" -ge 60000; }
  $ await decoded; sleep 0.5
  $ test $(($(rss_kb) - before)) -lt 10000 || echo "$before KiB, now $(rss_kb) KiB"
  $ kill -CONT $caller; wait $caller; chain out; tail -n 2 out | head -n 1
  whole 60000
  data: [DONE]
