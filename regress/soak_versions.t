Guards against streams that are joined from two software versions of engines. With
these seeds, a record was left by a daemon that had no event of the stream, or lost with
the daemon that wrote it as the store was restored.

  $ for seed in 9702 9923 9950; do python3 "$TOP/regress/soak/soak.py" --seed $seed --seconds 8 --modes crash,restore,leaving,limits,versions,busy,unframed,silent,brittle,cutoff,links; done
  seed 9702: 0 violations
  seed 9923: 0 violations
  seed 9950: 0 violations
  $ python3 "$TOP/regress/soak/soak.py" --seed 700010 --seconds 10 --modes versions,cutoff,links,restore
  seed 700010: 0 violations
