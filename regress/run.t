Guards against a failed test that counts as passed or leaves nothing to find its cause
by, and against a number of jobs that isn't meant.

  $ mkdir -p tree/regress/bin; cd tree/regress
  $ cp "$TOP"/regress/run.sh "$TOP"/regress/run_test.sh "$TOP"/regress/known_red.py .
  $ printf '  $ echo kept >d1.log; echo 1\n  2\n' >fails.t; printf '  $ echo 1\n  1\n' >passes.t
  $ printf '#!/bin/sh\necho "100%%: Checks: 7, Failures: 0, Errors: 0"\n' >bin/check_seven; chmod +x bin/check_seven
  $ run() { ./run.sh "$@" 2>&1 | sed 's/^[0-9]* \([a-z_.]*\)$/\1/' | grep -v '^[-+#!]\|^$\|^@@' | sort; }
  $ run bin/check_seven "passes.t fails.t"
     $ echo kept >d1.log; echo 1
  8 passed, 1 failed
  == d1.log
  FAILED: fails.t, kept in regress/failed/1-fails.t
  Slowest, in seconds:
  check_seven
  fails.t
  kept
  ok: check_seven (7)
  ok: passes.t (1)
  passes.t
  $ ./run.sh "" fails.t >/dev/null; echo $?; find failed -name d1.log | xargs cat
  1
  kept

One that KNOWN-RED.txt excuses doesn't count.

  $ printf 'test: fails.t\nstep: echo kept >d1.log; echo 1\ntext: 1\n' >../KNOWN-RED.txt
  $ ./run.sh "" "passes.t fails.t" | tail -n 1; ls failed 2>/dev/null
  1 passed, 0 failed
  [2]

So many rounds, beside each other; scripts that can't stand load come last.

  $ REPEAT=3 ./run.sh "" "passes.t fails.t" | tail -n 3
  Failures in 3 runs:
        3 fails.t known red
  3 passed, 0 failed
  $ printf 'Runs alone: it writes to a shared file.\n\n  $ echo alone >>%s/order\n' $PWD >alone.t
  $ printf '  $ sleep 0.5; echo beside >>%s/order\n' $PWD >beside.t
  $ ./run.sh "" "alone.t beside.t" | tail -n 1; cat order
  2 passed, 0 failed
  beside
  alone

A test that doesn't end in time, settings that are no numbers, and a missing script.

  $ sed -i 's/^TIME_LIMIT_S=.*/TIME_LIMIT_S=1/' run_test.sh; printf '  $ sleep 3\n' >slow.t
  $ ./run.sh "" slow.t | grep ended; cat failed/1-slow.t/status
  ended after 1 s
  124
  $ JOBS=two ./run.sh "" passes.t; JOBS=0 ./run.sh "" passes.t; REPEAT= ./run.sh "" passes.t
  run.sh: JOBS must be a positive number, not 'two'
  run.sh: JOBS must be a positive number, not '0'
  run.sh: REPEAT must be a positive number, not ''
  [2]
  $ ./run.sh "" nothing.t
  run.sh: nothing.t: no such script
  [2]
