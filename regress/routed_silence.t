Guards against answers that end, or run twice, because a sound server was silent
for a second.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"once","host":"h.example","path_prefix":"/once/","kind":"streaming","service":"llm","max_attempts":4,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700},
  > {"name":"single","host":"h.example","path_prefix":"/single/","kind":"streaming","service":"llm","resumable":true,"max_attempts":1,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700},
  > {"name":"double","host":"h.example","path_prefix":"/double/","kind":"streaming","service":"llm","resumable":true,"max_attempts":2,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700}'
  $ start_server app1 app a; start_server app2 app a; start_server app3 app a
  $ start_server llm1 llm a engine; start_server llm2 llm b engine; start_server llm3 llm c engine
  $ start_routed d1
  $ ids() { grep -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ runs() { for s in app1 app2 app3 llm1 llm2 llm3; do stats $s | python3 -c "import json,sys; print(len(json.load(sys.stdin)['runs']))"; done | awk '{ n += $1 } END { print n }'; }

A stream that may not run twice stays at its server.

  $ RUNS=$(runs); DEADLINE=9000 send_request /once/pause | ids; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1

All servers fall silent: a silent server counts as an attempt (max_attempts 1,
2), and the stream stays at the last one that the route allows.

  $ RUNS=$(runs); DEADLINE=9000 send_request /single/pause | ids; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  $ RUNS=$(runs); DEADLINE=9000 send_request /double/pause | ids; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  2

A plain answer that may be asked for twice (max_attempts 2) stays at its second
server until the time limit.

  $ RUNS=$(runs); status /look/pause; echo $(($(runs) - RUNS))
  200
  2

The retry budget is used up: streams and plain requests stay at the server that
they have.

  $ start_routed d2 ',"repeat_ratio":0,"repeat_slack":0'
  $ RUNS=$(runs); DEADLINE=9000 send_request /draft/pause | ids; echo $(($(runs) - RUNS))
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
  1
  $ RUNS=$(runs); status /look/pause; echo $(($(runs) - RUNS))
  200
  1

A server loses a stream while the others are silent for a second: the stream
waits for them, as it has time left.

  $ start_server llm4 llm d engine; start_server llm5 llm a engine; start_server llm6 llm b engine
  $ start_routed d3
  $ holder() { grep '"message":"attempt started"' d3.log | tail -n 1 | grep -o '"server":"[a-z0-9]*"' | cut -d'"' -f4; }
  $ (DEADLINE=9000 send_request /draft/once-lost >lost.out) & lost_pid=$!; sleep 1.8
  $ HOLDER=$(holder); for s in llm1 llm2 llm3 llm4 llm5 llm6; do [ $s = "$HOLDER" ] || eval kill -STOP \$${s}_pid; done
  $ sleep 1.2; for s in llm1 llm2 llm3 llm4 llm5 llm6; do eval kill -CONT \$${s}_pid; done
  $ wait $lost_pid; ids <lost.out
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 
