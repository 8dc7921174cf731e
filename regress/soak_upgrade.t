Guards against violations of the guarantees of the routed mode while daemons of an
older build are replaced one after the other; see soak/soak.py and old_build.sh.
The builds are made from the repository's history.

  $ "$TOP/regress/old_build.sh" 0000000000000000000000000000000000000000 builds
  fatal: Needed a single revision
  old_build.sh: commit 0000000000000000000000000000000000000000 is not in the repository's history
  [1]

An upgrade that halts halfway for a while, and one of three daemons that is taken
back, beside other faults.

  $ BUILDS=${OLD_BUILDS-$PWD/builds}; MODES=upgrade,restore,leaving,limits,versions
  $ python3 "$TOP/regress/soak/soak.py" --seed 13 --seconds 8 --modes $MODES --old 92654f6 --builds "$BUILDS"
  seed 13: 0 violations
  $ python3 "$TOP/regress/soak/soak.py" --seed 20 --seconds 8 --modes $MODES --old 92654f6 --builds "$BUILDS"
  seed 20: 0 violations
