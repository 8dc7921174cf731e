Guards against a daemon that is counted as gone while it is only silent or
slow: it may still act on the old configuration, so a change would be reported
as in effect everywhere too early.

  $ . "$TOP/regress/control.sh"
  $ start_platform
  $ start_engine e1
  $ start_three_daemons ',"config_confirm_ms":10000'

Six heartbeat intervals (0.6 s) pass without a word from d3.

  $ kill -STOP $d3_pid; sleep 1
  $ ctl $d1_ops label e1 gpu=big
  version 2
  $ ctl $d1_ops wait 2 --timeout-s 1
  version 2 is in effect on 2 of 3 daemons
  [5]
  $ ctl $d2_ops wait 2 --timeout-s 1
  version 2 is in effect on 2 of 3 daemons
  [5]
  $ kill -CONT $d3_pid; ctl $d1_ops wait 2
  version 2 is in effect on 3 of 3 daemons

A daemon that stays silent for as long as a confirmation is valid is gone: it
refuses by then, if it lives.

  $ kill_9 $d3_pid; sleep 1; ctl $d1_ops wait 2 --timeout-s 1
  version 2 is in effect on 3 of 3 daemons
  $ ctl $d2_ops label e1 gpu=small
  version 3
  $ ctl $d1_ops wait 3 --timeout-s 20
  version 3 is in effect on 2 of 2 daemons
