Guards against promises broken under series of overlapping faults: see
soak/soak.py. One seed here; more by hand.

  $ python3 "$TOP/regress/soak/soak.py" --seed 20261204 --seconds 8
  seed 20261204: 0 promises broken
