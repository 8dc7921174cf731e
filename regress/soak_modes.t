Guards against violations of the guarantees of the routed mode in modes of the soak that
soak.t doesn't run, and with seeds that have failed in them.

With these seeds, streams without length that their server broke off between two
events, or before the first one of the rest, ended as complete.

  $ for seed in 7002 7003 7012; do python3 "$TOP/regress/soak/soak.py" --seed $seed --seconds 8 --modes crash,restore,leaving,busy,unframed,silent; done
  seed 7002: 0 violations
  seed 7003: 0 violations
  seed 7012: 0 violations

Engines of two versions, whose streams callers take up at any daemon, and servers
that limit their requests.

  $ python3 "$TOP/regress/soak/soak.py" --seed 1 --seconds 8 --modes versions,limits,restore
  seed 1: 0 violations

Daemons that reach no server for a while, and silent servers.

  $ python3 "$TOP/regress/soak/soak.py" --seed 12 --seconds 10 --modes cutoff,links
  seed 12: 0 violations

Changes of the configuration, of 1,400 more routes with the first seed, SIGHUP and
SIGTERM beside servers that are silent for a second: each whole request gets a complete
response. The same at daemons with a small share of a processor.

  $ python3 "$TOP/regress/soak/soak.py" --seed 111 --seconds 8 --modes planned,silent
  seed 111: 0 violations
  $ python3 "$TOP/regress/soak/soak.py" --seed 302 --seconds 8 --modes planned,silent,share
  seed 302: 0 violations

Roll-outs of services to good and bad versions beside the other faults. With this seed, a
version of which 30 % of the answers fail succeeded after few answers.

  $ python3 "$TOP/regress/soak/soak.py" --seed 6 --seconds 12 --modes rollout
  seed 6: 0 violations
