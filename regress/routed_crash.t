Guards against requests with a part of a prompt that crashes servers, which go on
to crash one server after another, and against sound requests that are refused
for what they share with those.

Runs alone: eight requests have to wait for their first event, 3.5 s, at one moment.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"once","host":"h.example","path_prefix":"/once/","kind":"streaming","service":"llm","max_attempts":1,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700},
  > {"name":"often","host":"h.example","path_prefix":"/often/","kind":"streaming","service":"llm","resumable":true,"max_attempts":6,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700}'
  $ for i in 1 2 3 4 5 6; do start_server llm$i llm a engine; done
  $ start_routed d1
  $ n=0
  $ prompt() { n=$((n + 1)); path=$1; parts=$2; shift 2; DEADLINE=9000 send_request $path -H "Goldcrestfield-Prompt-Prefix: $parts,own$n:40" "$@"; }
  $ crashes() { wc -l <crashes.log; }
  $ reports() { grep -c '"message":"server crashed under a request"' d1.log; }
  $ have_reports() { [ $(reports) -ge $1 ]; }

  $ for i in 1 2 3; do prompt /once/ok aa:100,dead:50 -o /dev/null; done; crashes; await have_reports 3
  502
  502
  502
  3

After three crashes such requests are not sent.

  $ for i in 1 2 3 4 5; do prompt /draft/ok aa:100,dead:50 -o /dev/null; done; crashes
  503
  503
  503
  503
  503
  3
  $ prompt /draft/ok aa:100,dead:50 -D head.txt | grep -o '"code":"unsafe_prompt"\|"run":"not_run"'
  "code":"unsafe_prompt"
  "run":"not_run"
  $ grep -i -o 'retry-after: [0-9.]*' head.txt | awk '{ print ($2 >= 30 && $2 <= 31) }'
  1
  $ prompt /draft/ok aa:100,dead:50 -H 'Last-Event-Id: 2' -o /dev/null; crashes
  503
  3
  $ reports; grep -c '"message":"prompt blocked"' d1.log
  3
  7
  $ curl -s "http://$CONTROL_ADDR/metrics" | grep '^goldcrest_prompts_blocked_total'
  goldcrest_prompts_blocked_total 7

Sound requests with the same first part are served, at first and later.

  $ for other in bb:50 cc:5 dd:7 bb:50; do prompt /draft/ok aa:100,$other -o /dev/null; done
  200
  200
  200
  200
  $ prompt /draft/ok aa:100 -o /dev/null; send_request /draft/ok -o /dev/null
  200
  200

The first part is cleared by that, so the other one is refused in any company.

  $ prompt /draft/ok zz:9,dead:50 -o /dev/null; crashes
  503
  3

A request that has crashed servers itself ends as one that may have run. Its last
crash may come before the report of the third one.

  $ rm crashes.log; sleep 2.5; REPORTS=$(reports)
  $ prompt /often/ok aa:100,dead2:50 | grep -o '"run":"[a-z_]*"\|502'
  "run":"in_doubt"
  502
  $ crashes | awk '{ print ($1 == 3 || $1 == 4) }'
  1
  $ grep '"message":"request failed"' d1.log | tail -n 1 | grep -o '"limit":"[a-z]*"'
  "limit":"prompt"
  $ await have_reports $((REPORTS + $(crashes))); rm crashes.log; prompt /often/ok aa:100,dead2:50 -o /dev/null; test -e crashes.log
  503
  [1]

A request that has had events from its first server goes on to crash others
without any: these count.

  $ sleep 2.5; rm -f crashes.log; REPORTS=$(reports)
  $ prompt /often/ok aa:100,late1:50 -o /dev/null; crashes | awk '{ print ($1 <= 5) }'
  200
  1
  $ await have_reports $((REPORTS + 3)); rm crashes.log; prompt /often/ok aa:100,late1:50 -o /dev/null; test -e crashes.log
  503
  [1]

All servers are lost at once while sound requests with a common part wait for
their first event. A daemon that can reach no server may be cut off itself: it
reports no crash, and says nothing about the part. They stand still first, as one
that ends some milliseconds later could still report.

  $ sleep 2.5; REPORTS=$(reports)
  $ for i in 1 2 3 4 5 6 7 8; do prompt /once/wait mm:100,nn:50 -o /dev/null & requests="$requests $!"; done >mass.out
  $ waiting() { [ "$(for i in 1 2 3 4 5 6; do field llm$i queued; done | awk '{ n += $1 } END { print n }')" = 8 ]; }
  $ await waiting
  $ kill -STOP $llm1_pid $llm2_pid $llm3_pid $llm4_pid $llm5_pid $llm6_pid
  $ kill -9 $llm1_pid $llm2_pid $llm3_pid $llm4_pid $llm5_pid $llm6_pid; wait $llm1_pid $llm2_pid $llm3_pid $llm4_pid $llm5_pid $llm6_pid 2>/dev/null
  [137]
  $ wait $requests; sort mass.out | uniq -c | tr -s ' '
   8 502
  $ sleep 1; echo $(($(reports) - REPORTS))
  0
  $ start_server llm7 llm a engine; start_server llm8 llm a engine
  $ await grep -q '"message":"backend server ready".*llm8' d1.log
  $ prompt /draft/ok mm:100,nn:50 | grep -o 'id: 8\|unsafe_prompt\|^[0-9]*$'
  id: 8
  200

A server that resets a stream and its other connections, but stays up, hasn't
crashed.

  $ REPORTS=$(reports)
  $ for i in 1 2 3 4 5 6; do prompt /draft/resetall rr:100,ss:50 -o /dev/null; done
  502
  502
  502
  502
  502
  502
  $ sleep 1; echo $(($(reports) - REPORTS))
  0
