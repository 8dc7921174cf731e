Guards against a script that kills processes of others at its end: the ids of its own
ones that have ended are given out again.

  $ sleep 100 & other=$!
  $ bash -c '. "$TOP/regress/daemon.sh"; sleep 100 & pids="$1 $!"; echo $! >own.pid' - $other
  $ kill -0 $other && echo runs
  runs
  $ kill -0 $(cat own.pid) 2>/dev/null || echo ended
  ended

One that has stopped is a child as well.

  $ bash -c '. "$TOP/regress/daemon.sh"; sleep 100 & pids=$!; kill -STOP $!; echo $! >own.pid'
  $ kill -0 $(cat own.pid) 2>/dev/null || echo ended
  ended
  $ kill $other; wait $other 2>/dev/null || true
