Guards against a request that stays at a silent server until its caller's own time is
over, though another server could answer in that time.

Runs alone: answers have to come within the time that the callers name.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ route() { echo ",{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"kind\":\"$2\",\"service\":\"$3\",\"max_attempts\":${5-2},\"timeout_ms\":9000$4}"; }
  $ ROUTES="$(route read idempotent app ',"target_latency_ms":3000')$(route plain idempotent app '')$(route text streaming llm ',"target_latency_ms":6000,"target_gap_ms":6000,"resumable":true' 4)$(route none idempotent none ',"target_latency_ms":8000')"
  $ start_store; put_config "$ROUTES"
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine
  $ for n in 1 2; do start_forwarding $n; done; await knows_daemons 2
  $ at() { eval "CALLER_ADDR=\$d$1_caller CONTROL_ADDR=\$d$1_control"; shift; "$@"; }
  $ runs() { wc -l <runs.log; }; touch runs.log

within MS PATH: a caller that names MS and leaves after that time; prints the status, 000
for none.

  $ within() { local ms=$1; shift; DEADLINE=$ms send_request "$@" --max-time "$(printf '%d.%03d' $((ms / 1000)) $((ms % 1000)))" -o own.out; }
  $ ran() { local n=$(runs); "$@"; echo "runs: $(($(runs) - n))"; }

Lookups that get no response: one whose route has a target above the caller's time, one whose
route has none.

  $ at 1 ran within 900 /read/once-hang
  200
  runs: 2
  $ at 1 ran within 900 /plain/once-hang
  200
  runs: 2

A server that is only slow still answers, though another one was asked.

  $ at 1 ran within 900 /read/turns-mostly-hang
  200
  runs: 2

What the other server answers first is delivered, also a failure.

  $ at 1 ran within 900 /read/turns-hang-fail
  500
  runs: 2

A stream whose engine stops before the first event, and one that gets no further event.

  $ holder() { grep '"message":"attempt started"' d1.log | tail -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4; }
  $ (at 1 within 2500 /text/once-wait; cp own.out first.out) >first.status & pid=$!; sleep 0.3; ENGINE=$(holder); eval kill -STOP \$${ENGINE}_pid; wait $pid; cat first.status; grep -c '^id:' first.out; eval kill -CONT \$${ENGINE}_pid
  200
  8
  $ at 1 ran within 2500 /text/once-mute; grep -c '^id:' own.out
  200
  runs: 2
  8

An engine that reports that it is alive keeps the stream until its first event.

  $ at 1 ran within 4400 /text/wait; grep -c '^id:' own.out
  200
  runs: 1
  8

A process that is stopped takes requests and answers none. The configuration changes beside
them.

  $ kill -STOP $app1_pid
  $ (for i in 1 2 3 4 5 6; do put_config "$ROUTES"; sleep 0.3; done) & changes=$!
  $ for i in $(seq 12); do (at 1 within 900 /read/ok >read$i.out) & done; wait $changes; sleep 0.5; cat read*.out | sort | uniq -c | awk '{ print $1, $2 }'
  12 200
  $ kill -CONT $app1_pid; sleep 1

Through another daemon, which leaves the silent server itself.

  $ partition hang "app1 app2 app3" 11; at 1 status /open/ok >first.out; sleep 0.5
  $ at 1 ran within 900 /read/once-hang
  200
  runs: 2
  $ reconnect "app1 app2 app3"

No server is there: the caller is refused early enough to come back.

  $ at 1 within 800 /none/ok -w '%{http_code} %{time_total}\n' | awk '{ print $1, ($2 < 0.4 ? "in time" : $2) }'; grep -o '"run":"[a-z_]*"' own.out
  503 in time
  "run":"not_run"
