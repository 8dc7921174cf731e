Guards against streams that are refused because their servers answer load queries with
something else than a report, though they would run them.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ for s in llm1 llm2 llm3; do start_server $s llm a engine; done
  $ start_routed d1
  $ report() { local json=$1 s; shift; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/report" -d "$json"; done; }
  $ streams() { for i in $(seq $1); do status /draft/ok; done | sort | uniq -c | awk '{ print $1, $2 }'; }
  $ runs() { field $1 runs | grep -o "'r" | wc -l; }

  $ report '{"status": 404, "body": ""}' llm1 llm2 llm3; streams 12
  12 200
  $ report '{"status": 500, "body": "{}"}' llm1 llm2 llm3; streams 12
  12 200
  $ report '{"status": 200, "body": "fine"}' llm1 llm2 llm3; streams 12
  12 200

Many at once are spread by the daemon's own requests.

  $ BEFORE="$(runs llm1) $(runs llm2) $(runs llm3)"; p=
  $ for i in $(seq 12); do status /draft/slow >slow.$i & p="$p $!"; done; wait $p; sort slow.* | uniq -c | awk '{ print $1, $2 }'
  12 200
  $ echo $BEFORE $(runs llm1) $(runs llm2) $(runs llm3) | awk '{ print ($4 - $1 >= 2 && $5 - $2 >= 2 && $6 - $3 >= 2) }'
  1

Each server is named once in the log. One that reports again goes first.

  $ grep -o '"message":"a server gives no load report","server":"[a-z0-9]*"' d1.log | sort | uniq -c | awk '{ print $1 }'
  1
  1
  1
  $ report '{}' llm2; sleep 0.3; BEFORE=$(runs llm2); streams 6; echo $(($(runs llm2) - BEFORE))
  6 200
  6
