Guards against these failures while one or two faults hit real processes: a
corrupt or mixed-up answer, an action with two effects or a wrong outcome, a
lost or late configuration change, late runs on a departing engine, a stream
disconnected by a planned stop and a gap of over 6 s between tokens. Figures
that depend on timing are cut off.

  $ python3 "$TOP/bench/faults.py" --fixed --jobs 3 >out; echo "status $?"
  status 0
  $ sed -n 's/^\([a-z].* seed [0-9]*\) whole.* \(broken .* doubled [0-9]*\).*/\1 \2/p' \
  >   out | sort
  daemon_killed seed 2 broken 0 doubled 0
  daemon_paused_3+daemon_paused_3 seed 70 broken 0 doubled 0
  daemon_stopped seed 6 broken 0 doubled 0
  engine_departs+daemon_paused_3 seed 5 broken 0 doubled 0
  engine_foreign+lost_writes seed 3 broken 0 doubled 0
  engine_killed seed 1 broken 0 doubled 0
  platform_outage+operator_race seed 4 broken 0 doubled 0
  $ grep -E 'FAILED|logs:' out
  [1]
  $ tail -n 1 out
  faults: 7 cases, 0 failed
