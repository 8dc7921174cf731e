Guards against a daemon that buffers for callers and servers that read slowly until it
has no memory left, and against sound callers that fail or wait beside them.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ operator '{"key":"op/config","value":{"version":3,
  >  "routes":[
  >   {"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent",
  >    "service":"app","max_attempts":2,"timeout_ms":1500,"target_latency_ms":300},
  >   {"name":"mud","host":"h.example","path_prefix":"/mud/","kind":"non_idempotent",
  >    "service":"mud","max_attempts":1,"timeout_ms":20000,"target_latency_ms":9000},
  >   {"name":"draft","host":"h.example","path_prefix":"/draft/","kind":"streaming",
  >    "service":"llm","max_attempts":2,"timeout_ms":25000,"target_latency_ms":5000},
  >   {"name":"fill","host":"h.example","path_prefix":"/fill/","kind":"streaming",
  >    "service":"fill","max_attempts":1,"timeout_ms":25000,"target_latency_ms":9000}],
  >  "services":[{"name":"app","max_connections":50},{"name":"mud","max_connections":2000},
  >   {"name":"llm","max_connections":50,"engine":{}},
  >   {"name":"fill","max_connections":2000,"engine":{}}],
  >  "limits":{"max_header_bytes":2000,"max_body_bytes":4000000,
  >   "header_timeout_ms":4000,"idle_timeout_ms":15000},
  >  "tenants":[{"name":"north","api_keys":["key-1"]}]}}'
  $ start_server app1 app a; start_server llm1 llm a engine; start_server mud1 mud a
  $ for n in 1 2 3 4; do start_server fill$n fill a engine; done
  $ start_routed d1 ',"memory_mb":96,"contracts":["other","pressure"]'
  $ status /look/ok; status '/draft/ok'; status /mud/ok; status '/fill/ok'
  200
  200
  200
  200
  $ rss() { grep "$1" /proc/$d1_pid/status | tr -dc 0-9; }
  $ IDLE_KB=$(rss VmRSS); BOUND_KB=$((24000000 / 1024))

fits: true if the daemon has never held more than its idle size and the bound.

  $ fits() { kill -0 $d1_pid && [ $(rss VmHWM) -le $((IDLE_KB + BOUND_KB)) ] && echo fits || echo "$(rss VmHWM) kB of $IDLE_KB + $BOUND_KB"; echo "$1: idle $IDLE_KB kB, peak $(rss VmHWM) kB" >>figures.txt; }
  $ events() { grep -c "\"event\":$1" d1.log || true; }
  $ slow() { rm -f ready; "$TOP/regress/slow_peers.py" slow $CALLER_ADDR "$1" "$2" "$3" "$4" ready $5 $6 >slow.out 2>slow.err & slow=$!; }
  $ sound() { "$TOP/regress/slow_peers.py" sound $CALLER_ADDR "$1" 50 2000 /look/ok '/draft/ok' 2>>figures.txt; }
  $ metric() { curl -s "http://$PEER_ADDR/metrics" | awk -v n="goldcrest_held_$1" '$1 == n { print $2 }'; }

Bursts that stay under the bound lose nobody, although they are slow.

  $ slow 50 '/fill/big' 0 3; await test -e ready; sound 3; wait $slow; cat slow.out; events 1146
  all served
  ended 0 open 50 200:50
  0

1,000 callers that don't read their streams.

  $ slow 1000 '/fill/big' 0 9; sound 12
  all served
  $ wait $slow; fits silent; cat slow.out >>figures.txt
  fits
  $ [ $(events 1146) -gt 100 ] && echo some; grep -m 1 '"event":1146' d1.log | grep -c '"request":"slow[0-9]*","peer":"caller","held":"[0-9]*","taken":"[0-9]*","waiting_ms":"[0-9]*"'
  some
  1
  $ [ "$(metric ended_total)" = "$(events 1146)" ] && echo counted
  counted
  $ calm() { grep '"event":1147' d1.log | tail -n 1 | grep -q 'back-pressure ends' && [ "$(metric bytes)" = 0 ]; }
  $ await calm; grep '"event":1147' d1.log | grep -o 'back-pressure [a-z]*' | sort -u
  back-pressure begins
  back-pressure ends

400 callers that read a byte a second, and 400 that stop reading a stream.

  $ slow 400 '/fill/big' 1 6; one=$slow; slow 400 '/fill/big' begin 6; sound 8
  all served
  $ wait $one $slow; fits slow; await calm
  fits

Request bodies of a megabyte to servers that don't read: none adds to the bound, and
small requests and streams are served.

  $ kill -STOP $mud1_pid; slow 100 /mud/ok 0 7 1000000; sound 9
  all served
  $ wait $slow; fits bodies; cat slow.out >>figures.txt; kill -CONT $mud1_pid
  fits
  $ grep '"event":1146' d1.log | grep -c '"peer":"server"' | awk '{ print ($1 > 0) }'
  1
  $ await calm

Uploads that stop halfway.

  $ slow 100 /mud/ok 0 6 3000000 1000000; sound 7; wait $slow; fits uploads; await calm
  all served
  fits

Afterwards large answers and bodies are served as before.

  $ head -c 3000000 /dev/zero >body; status /mud/ok --data-binary @body; send_request '/fill/big' | wc -c | awk '{ print ($1 > 12000000) }'
  200
  1
  $ cp figures.txt "${FIGURES_FILE:-/dev/null}" 2>/dev/null || true
