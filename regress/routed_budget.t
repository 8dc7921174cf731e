Guards against answers that are cut, or requests that are failed, because the retry
budget is used up for a moment, though their callers would wait until it isn't.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ ROUTES=',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":3,"timeout_ms":6000,"target_latency_ms":600},
  > {"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","service":"llm","resumable":true,"max_attempts":4,"timeout_ms":9000,"target_latency_ms":6000,"target_gap_ms":700}'; put_config "$ROUTES"
  $ export DEADLINE=9000
  $ for n in 1 2 3; do start_server app$n app a; start_server llm$n llm a engine; done
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ touch runs.log; runs() { wc -l <runs.log; }
  $ reached() { [ "$(runs)" -ge "$1" ]; }; running() { await reached $((RUNS + $1)); }
  $ now_ms() { date +%s%3N; }
  $ silence() { local ms=$1; shift; for s in "$@"; do curl -s -o /dev/null "http://127.0.0.1:$(cat $s.ports)/silence" -d "{\"ms\":$ms}"; done; sleep 0.05; }

requests COUNT PATH: sends that many at once; prints how each ended.

  $ requests() {
  >   local n p=
  >   for n in $(seq $1); do (send_request $2 >part.$n) & p="$p $!"; done; wait $p
  >   for n in $(seq $1); do ids <part.$n; done | sort | uniq -c
  > }

One retry in a second. Three streams lose their servers at the same event: each goes on
in its turn.

  $ start_routed d1 ',"repeat_ratio":0,"repeat_slack":2,"repeat_window_s":1'
  $ START=$(now_ms); requests 3 /patient/once-die
        3 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ echo $(($(now_ms) - START)) | awk '$1 < 2000 { print "early" } $1 > 4500 { print "late" }'

The same for lookups. One whose time limit is before its turn fails at once.

  $ sleep 1.2; requests 2 /find/once-cut
        2 200 
  $ START=$(now_ms); DEADLINE=500 status /find/once-cut
  502
  $ echo $(($(now_ms) - START)) | awk '$1 > 250 { print "held for", $1 }'

What can't be repeated doesn't wait.

  $ START=$(now_ms); status /book/cut
  502
  $ echo $(($(now_ms) - START)) | awk '$1 > 250 { print "held for", $1 }'

A caller that leaves while it waits.

  $ sleep 1.2; status /find/once-cut; send_request /find/once-cut --max-time 0.3 | tail -n 1
  200
  000
  $ sleep 1.2; status /find/ok
  200

All servers are silent for 1.2 s under three streams, beside a change of the
configuration.

  $ sleep 1.2; RUNS=$(runs); (requests 3 /draft/slow >silent.out) & pid=$!; running 3; sleep 0.4
  $ silence 1200 llm1 llm2 llm3; IDLE_MS=300 put_config; wait $pid; cat silent.out
        3 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

Without any retry, a stream is cut at once, as its turn doesn't come.

  $ start_routed d2 ',"repeat_ratio":0,"repeat_slack":0'
  $ START=$(now_ms); requests 1 /draft/once-die
        1 id: 1 id: 2 id: 3 200 
  $ echo $(($(now_ms) - START)) | awk '$1 > 1000 { print "held for", $1 }'

A stop during the wait ends it as any other: with an answer, or aborted.

  $ start_routed d3 ',"repeat_ratio":0,"repeat_slack":4,"repeat_window_s":4,"stop_grace_s":2'; put_config "$ROUTES"; sleep 0.5
  $ (requests 2 /patient/once-die >stop.out) & pid=$!; sleep 0.5; START=$(now_ms); kill -TERM $d3_pid; wait $pid; sort stop.out
        1 id: 1 id: 2 id: 3 200 
        1 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ echo $(($(now_ms) - START)) | awk '$1 > 3000 { print "held for", $1 } $1 < 1000 { print "cut at once" }'

A stream that its caller can take up elsewhere doesn't wait for longer than the route's
target latency: it is cut at once if its turn comes later.

  $ start_routed d5 ',"repeat_ratio":0,"repeat_slack":5,"repeat_window_s":8'
  $ START=$(now_ms); requests 2 /draft/once-die
        1 id: 1 id: 2 id: 3 200 
        1 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  $ echo $(($(now_ms) - START)) | awk '$1 > 1500 { print "held for", $1 }'

A stream leaves a silent server, and the next one turns it away. The first one is sound:
the end of the stream would be due to its silence. So it waits for its turn until its time
limit, beside a change of the configuration.

  $ start_routed d6 ',"repeat_ratio":0,"repeat_slack":6,"repeat_window_s":4'
  $ (requests 1 /draft/turns-pause-shed-ok >left.out) & pid=$!; sleep 0.3; IDLE_MS=400 put_config "$ROUTES"; wait $pid; cat left.out
        1 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

With retries left, it goes on until one takes it, however many turn it away.

  $ start_routed d7 ',"repeat_ratio":10,"repeat_slack":1000'
  $ requests 1 /draft/turns-pause-shed-shed-shed-shed-shed-shed-shed-shed-shed-ok
        1 id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

A lookup leaves a silent server, and the next one turns it away: the route's two attempts
are those that may have run, so that it goes on to a third server. If nobody runs it, its
caller is told so.

  $ start_routed d4; status /look/turns-hang-shed-ok
  200
  $ send_request /look/shed | grep -o '"run":"[a-z_]*"\|^[0-9]*$'
  "run":"not_run"
  503
