Guards against promises broken under series of overlapping faults: see
soak/soak.py. One seed and those that ever failed; more by hand.

  $ python3 "$TOP/regress/soak/soak.py" --seed 20261204 --seconds 8
  seed 20261204: 0 promises broken

The soak itself reset a connection that had just been closed, and hung.

  $ python3 "$TOP/regress/soak/soak.py" --seed 33 --seconds 8
  seed 33: 0 promises broken
