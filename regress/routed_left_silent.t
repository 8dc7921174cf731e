Guards against streams that end, or are run twice, though the sound server that they
left goes on after a second of silence.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ ROUTES=',{"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700}'; put_config "$ROUTES"
  $ export DEADLINE=9000
  $ for n in 1 2 3; do start_server llm$n llm a engine; done; ENGINES="llm1 llm2 llm3"
  $ whole() { grep -o '^id: [0-9]*' $1 | awk '$2 != NR { print "not in order:", $0 } END { print NR }'; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ tell() { local path=$1 json=$2 s; shift 2; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/$path" -d "$json"; done; }
  $ holder() { grep '"message":"attempt started"' $1.log | head -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4; }
  $ went_back() { grep '"event":1127' $1.log | grep -o '"reason":"[a-z ]*"'; }
  $ start() { start_routed $1 ",\"source\":\"127.0.0.$2\",\"repeat_ratio\":0,\"repeat_slack\":$3,\"repeat_window_s\":20"; }

Each daemon has one retry in 20 s. The server of a stream is silent for a second, and the others turn it
away: the stream goes on where it was, and its caller gets all of it.

  $ start d1 11 2; RUNS=$(runs); (send_request /patient/turns-many-shed >full.out) & pid=$!; running 1; sleep 0.4
  $ tell silence '{"ms": 1200}' $(holder d1); wait $pid; whole full.out; echo $(($(runs) - RUNS)); went_back d1
  30
  1
  "reason":"nobody else could go on"

All servers are silent: the stream goes on where it was, and nobody reads its prompt
again. The retry is left for a server that is lost later.

  $ start d2 12 4; RUNS=$(runs); (send_request /patient/many >all.out) & pid=$!; running 1; sleep 0.4
  $ tell silence '{"ms": 1200}' $ENGINES; sleep 2; echo $(($(runs) - RUNS)); tell drop '{}' $(holder d2); wait $pid
  1
  $ whole all.out; echo $(($(runs) - RUNS)); went_back d2
  30
  2
  "reason":"it sent more"

A server that is silent for longer is left for good: another one goes on within the
longest gap, and the first run ends.

  $ start d3 13 6; RUNS=$(runs); (send_request /patient/many >gone.out) & pid=$!; running 1; sleep 0.4; HOLDER=$(holder d3)
  $ tell silence '{"ms": 5000}' $HOLDER; wait $pid; whole gone.out; echo $(($(runs) - RUNS)); went_back d3
  30
  2
  [1]
  $ grep '"event":1110' d3.log | grep -o '"pause_ms":"[0-9]*"' | tr -dc '0-9\n' | awk '$1 > 700 { print "late:", $1 }'

A server that can be reached, and sends nothing, doesn't go on beside the next one, also
while that one is only reading the prompt (its first event comes after 3.5 s).

  $ start d4 14 8; RUNS=$(runs); (send_request /patient/turns-mute-wait >mute.out) & pid=$!; running 1; HOLDER=$(holder d4)
  $ running 2; sleep 1; field $HOLDER abandoned | grep -o '[0-9]*\]$'; wait $pid; whole mute.out; went_back d4
  4]
  8
  [1]
