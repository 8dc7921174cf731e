Guards against violations of the guarantees of the routed mode under series of
overlapping faults; see soak/soak.py. Runs one seed and those that have failed;
run others by hand.

  $ python3 "$TOP/regress/soak/soak.py" --seed 20261204 --seconds 8
  seed 20261204: 0 violations

With this seed, the soak test hung: its proxy reset a connection that had just
been closed.

  $ python3 "$TOP/regress/soak/soak.py" --seed 33 --seconds 8
  seed 33: 0 violations

A request that ends each server comes at all daemons; and all modes together.

  $ python3 "$TOP/regress/soak/soak.py" --seed 1 --seconds 8 --modes crash
  seed 1: 0 violations
  $ python3 "$TOP/regress/soak/soak.py" --seed 12 --seconds 8 --modes crash,restore,leaving,busy,unframed,silent
  seed 12: 0 violations

With this seed, the soak test itself failed: a server ended while its entry was
written again after a restore.

  $ python3 "$TOP/regress/soak/soak.py" --seed 9125 --seconds 8 --modes crash,restore,leaving,busy,unframed,silent,limits,versions
  seed 9125: 0 violations

With this seed, a second revocation of the same key disturbed a daemon's callers, and the
soak test took that daemon for undisturbed.

  $ python3 "$TOP/regress/soak/soak.py" --seed 531106 --seconds 12 --modes crash,restore,leaving,limits,versions,busy,unframed,silent,brittle,cutoff,links
  seed 531106: 0 violations
