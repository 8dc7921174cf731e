Guards against a load generator that lacks an option used by the benchmarks or
counts answers wrongly.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --token-ms 1
  $ start_daemon d1
  $ load() {
  >   gcload --url $d1_url --key quick-key --model draft --requests 4 \
  >     --concurrency 2 --min-tokens 5 --max-tokens 10 "$@" >report
  >   echo "status $?"
  >   for name in requests whole broken failed; do
  >     echo "$name $(number $name report)"
  >   done
  > }
  $ load
  status 0
  requests 4
  whole 4
  broken 0
  failed 0

With --restart, the baseline that repeats a failed generation.

  $ load --restart
  status 0
  requests 4
  whole 4
  broken 0
  failed 0

With a wrong key, every answer fails and none counts as broken.

  $ load --key wrong --patience-s 1
  status 0
  requests 4
  whole 0
  broken 0
  failed 4
