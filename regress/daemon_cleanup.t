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

So is one whose state changes all the time; one that is missed isn't ended, and waited for.

  $ cat >busy.sh <<'EOF'
  > . "$TOP/regress/daemon.sh"
  > python3 -c 'import time
  > while True:
  >     time.sleep(0.00005)
  >     for _ in range(2000): pass' & pids=$!
  > missed=0; for i in $(seq 20000); do is_child $pids || missed=$((missed + 1)); done
  > echo $missed missed
  > EOF
  $ timeout 60 bash busy.sh
  0 missed
