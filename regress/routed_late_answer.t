Guards against a whole request whose caller gets neither an answer nor a refusal, as the
last answer is due when the time that the caller has named is over.

Runs alone: answers have to come within the time that the callers name.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ route() { echo ",{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"kind\":\"$2\",\"service\":\"$3\",\"max_attempts\":2,\"timeout_ms\":$5$4}"; }
  $ TARGET=',"target_latency_ms":3000'
  $ ROUTES="$(route read idempotent app $TARGET 9000)$(route act non_idempotent app $TARGET 9000)$(route text streaming llm "$TARGET,\"target_gap_ms\":700,\"resumable\":true" 9000)$(route near non_idempotent app $TARGET 600)$(route none idempotent none ',"target_latency_ms":8000' 9000)"
  $ start_store; put_config "$ROUTES"
  $ start_server app1 app a; start_server app2 app b; start_server llm1 llm a engine; start_server llm2 llm b engine
  $ for n in 1 2; do start_forwarding $n; done; await knows_daemons 2
  $ at() { eval "CALLER_ADDR=\$d$1_caller CONTROL_ADDR=\$d$1_control"; shift; "$@"; }
  $ runs() { wc -l <runs.log; }; touch runs.log

within MS PATH: a caller that names MS and leaves after that time; prints the status and
what the answer says about the run.

  $ within() {
  >   local ms=$1 n=$(runs); shift; rm -f own.out
  >   DEADLINE=$ms send_request "$@" --max-time "$(printf '%d.%03d' $((ms / 1000)) $((ms % 1000)))" -o own.out
  >   echo "$(grep -o '"run":"[a-z_]*"' own.out 2>/dev/null) runs $(($(runs) - n))"
  > }

No server answers: bookings, lookups, streams; they may have run.

  $ at 1 within 700 /act/hang
  504
  "run":"in_doubt" runs 1
  $ at 1 within 700 /read/hang
  504
  "run":"in_doubt" runs 2
  $ at 1 within 700 /text/lost
  504
  "run":"in_doubt" runs 1

The route's own limit ends shortly before the caller's time.

  $ at 1 within 650 /near/hang
  504
  "run":"in_doubt" runs 1

No server is there: refused as not run, early enough for a return.

  $ at 1 within 800 /none/ok
  503
  "run":"not_run" runs 0
  $ grep '"event":1111' d1.log | tail -n 1 | grep -o '"status":"[0-9]*"'
  "status":"503"

An answer that comes shortly before the end of the caller's time is still delivered.

  $ at 1 within 470 /act/slow
  200
   runs 1

A stream that has begun goes on until the end of the caller's time.

  $ DEADLINE=2000 at 1 send_request /text/many -o own.out -w '%{http_code} %{time_total}\n' | awk '{ print $1, ($2 >= 2 && $2 < 3 ? "in time" : $2) }'
  200 in time

Beside changes of the configuration, to stopped processes.

  $ kill -STOP $app1_pid $app2_pid
  $ (for i in 1 2 3 4 5 6; do put_config "$ROUTES"; sleep 0.3; done) & changes=$!
  $ for path in act read; do for i in $(seq 6); do (at 1 within 700 /$path/ok$i >$path$i.out) & done; done; wait $changes; sleep 0.3; cat act*.out read*.out | grep '^[0-9]' | sort | uniq -c | awk '{ print $1, $2 }'
  12 504
  $ kill -CONT $app1_pid $app2_pid; sleep 1

Through another daemon, which has less time, so that what it knows arrives.

  $ partition hang "app1 app2" 11; at 1 status /open/ok >first.out; sleep 0.5
  $ at 1 within 900 /act/hang
  504
  "run":"in_doubt" runs 1
  $ at 1 within 900 /read/hang
  504
  "run":"in_doubt" runs 2
  $ reconnect "app1 app2"

Callers that name no time wait for the route's.

  $ curl -s -o /dev/null -w '%{http_code} %{time_total}\n' --max-time 5 "http://$d2_caller/near/hang" -H 'Host: h.example' -H 'Goldcrestfield-Request-Id: unnamed1' -H 'Authorization: Token key-1' | awk '{ print $1, ($2 >= 0.6 && $2 < 1.1 ? "in time" : $2) }'
  504 in time
  $ grep -c '"event":1115' d1.log d2.log
  d1.log:0
  d2.log:0
  [1]
