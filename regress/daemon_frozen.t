Guards against callers that wait forever for a frozen engine, and against a run
that is not cancelled when its frozen engine recovers.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_engine e2
  $ start_daemon d1
  $ started() { test "$(tokens out | wc -l)" -gt 20; }
  $ in_use() { tokens out | sed -n 's/^[^:]*:\(e[0-9]\)-.*/\1/p' | tail -n 1; }

Two streams first give the stall detector samples of the engines' token latency.
Then the engine in use freezes during a stream, once for an account with the
latency policy and once for one with the economy policy: the other engine
completes the response, and the recovered one cancels its run.

  $ stream $d1_url 50 >/dev/null; stream $d1_url 50 >/dev/null
  $ for key in quick thrifty; do
  >   rm -f out; stream $d1_url 200 -H "Authorization: Bearer $key-key" >out &
  >   caller=$!; await started; eval "pid=\$$(in_use)_pid url=\$$(in_use)_url"
  >   before=$(stat $url cancelled); kill -STOP $pid
  >   wait $caller; chain out; tail -n 2 out | head -n 1
  >   kill -CONT $pid
  >   await stat_is $url cancelled $((before + 1)) && echo cancelled
  >   fault $url '{"fault":"clear"}'
  >   sleep 2
  > done
  whole 200
  data: [DONE]
  cancelled
  whole 200
  data: [DONE]
  cancelled
