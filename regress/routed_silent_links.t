Guards against requests that are lost because a sound server, or the network to it,
was silent for a second, acknowledgements included.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"keep","host":"h.example","path_prefix":"/keep/","kind":"non_idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"find1","host":"h.example","path_prefix":"/find1/","kind":"idempotent","service":"app","max_attempts":1,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"once","host":"h.example","path_prefix":"/once/","kind":"streaming","service":"llm","max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700},
  > {"name":"single","host":"h.example","path_prefix":"/single/","kind":"streaming","service":"llm","resumable":true,"max_attempts":1,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700},
  > {"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700}'
  $ export DEADLINE=9000
  $ start_server app1 app a; start_server llm1 llm a engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ touch runs.log; runs() { wc -l <runs.log; }

running COUNT: waits until that many requests more than RUNS have reached a server.

  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ now_ms() { date +%s%3N; }
  $ silence() { local ms=$1; shift; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/silence" -d "{\"ms\":$ms}"; done; sleep 0.05; }

prime COUNT PATH: opens that many connections to servers, which stay open.

  $ prime() { local p=; for _ in $(seq $1); do status $2 >/dev/null & p="$p $!"; done; wait $p; }

A request that may not run twice is in flight, is sent into the silence on an open
connection, and takes longer than the time between two probes.

  $ RUNS=$(runs); (status /keep/slow >keep1.out; status /keep/ok >keep2.out) & pid=$!; running 1
  $ silence 1200 app1; wait $pid; cat keep1.out keep2.out; echo $(($(runs) - RUNS))
  200
  200
  2
  $ prime 2 /find/slow; RUNS=$(runs); silence 1200 app1
  $ status /keep/ok; echo $(($(runs) - RUNS))
  200
  1
  $ RUNS=$(runs); (status /keep/long >keep3.out) & pid=$!; running 1; sleep 0.4; silence 1200 app1; wait $pid
  $ cat keep3.out; echo $(($(runs) - RUNS))
  200
  1

A stream that may not be repeated, after some events and before the first one.

  $ RUNS=$(runs); (send_request /once/slow >once1.out) & pid=$!; running 1; sleep 0.4; silence 1200 llm1; wait $pid
  $ ids <once1.out; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  $ RUNS=$(runs); (send_request /once/wait >once2.out) & pid=$!; running 1; sleep 0.4; silence 1200 llm1; wait $pid
  $ ids <once2.out; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1

A lookup without another server or further attempts, sent into the silence.

  $ prime 2 /find/slow; RUNS=$(runs); silence 1200 app1
  $ (status /find1/ok >find1.out) & pid=$!; status /find/ok; wait $pid; cat find1.out; echo $(($(runs) - RUNS))
  200
  200
  2

Streams whose attempts are used up, with another server there.

  $ start_server app2 app a; start_server llm2 llm b engine; sleep 0.3
  $ RUNS=$(runs); (send_request /single/slow >single1.out) & pid1=$!
  $ (send_request /single/wait >single2.out) & pid2=$!; running 2; sleep 0.4; silence 1200 llm1 llm2; wait $pid1 $pid2
  $ ids <single1.out; ids <single2.out; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  2

A stream that could go on elsewhere stays at a server that reports its load after
the silence.

  $ RUNS=$(runs); (send_request /patient/wait >patient1.out) & pid=$!; running 1; sleep 0.4; silence 1200 llm1 llm2; wait $pid
  $ ids <patient1.out; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1

The retry budget is used up.

  $ start_routed d2 ',"repeat_ratio":0,"repeat_slack":0'
  $ prime 8 /find/slow; RUNS=$(runs); silence 1200 app1 app2
  $ status /find/ok; echo $(($(runs) - RUNS))
  200
  1
  $ RUNS=$(runs); (send_request /patient/slow >patient2.out) & pid=$!; running 1; sleep 0.4; silence 1200 llm1 llm2; wait $pid
  $ ids <patient2.out; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1

Lookups that were sent to one silent server are answered by another one within the
route's target latency (600 ms).

  $ start_routed d3
  $ prime 8 /find/slow; silence 1200 app1; START=$(now_ms)
  $ for i in 1 2 3 4 5 6; do (status /find/ok >look$i.out; echo $(($(now_ms) - START)) >look$i.ms) & done; wait $(jobs -p | tail -n 6)
  $ cat look?.out | sort | uniq -c; cat look?.ms | awk '$1 > 600 { print "late" }' | uniq
        6 200

One server is gone for good: lookups and streams go on elsewhere, and new requests
avoid it.

  $ sleep 1.2; prime 8 /find/slow; prime 8 /find/slow
  $ RUNS=$(runs); (send_request /patient/once-wait >patient3.out; now_ms >patient3.ms) & pid=$!; START=$(now_ms); running 1
  $ HOLDER=$(grep '"message":"attempt started"' d3.log | tail -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4)
  $ silence 0 app1 $HOLDER
  $ status /find/ok; status /find/ok; status /find/ok; status /find/ok
  200
  200
  200
  200
  $ LOOKS=$(now_ms); for i in 1 2 3 4 5 6 7 8 9 10; do status /find/ok; done | uniq -c
       10 200
  $ echo $(($(now_ms) - LOOKS)) | awk '$1 > 1500 { print "late" }'
  $ wait $pid; ids <patient3.out; echo $(($(cat patient3.ms) - START)) | awk '$1 > 3500 { print "late" }'
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

All servers are gone for good: a request that may have run is held until shortly before
its caller's time is over (20 ms and a round trip), and its caller isn't told that it did
not run.

  $ sleep 1; prime 2 /find/slow; RUNS=$(runs); silence 0 app2; START=$(now_ms)
  $ DEADLINE=1500 send_request /keep/ok -i >gone.out; tail -n 1 gone.out; grep -o 'not_run\|in_doubt' gone.out
  504
  in_doubt
  $ echo $(($(now_ms) - START)) | awk '$1 < 1475 || $1 > 1975 { print "not at the limit" }'; echo $(($(runs) - RUNS))
  0

A request whose connection is still being opened at its time limit was not sent: its
caller is told so.

  $ sleep 5; DEADLINE=300 send_request /keep/ok -i >unsent.out; tail -n 1 unsent.out; grep -o 'not_run\|in_doubt' unsent.out
  503
  not_run
