Guards against odd items of the store, as other writers leave them, that a daemon
uses, gives away, or stops at: it never ends, and follows the later ones.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config

odd ID FIELD VALUE: stores a server's entry in which only that field is odd.

  $ odd() { operator "$(python3 -c '
  > import json, sys
  > entry = {"born": 1999999999999, "service": "app", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
  >          "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
  > entry[sys.argv[2]] = json.loads(sys.argv[3])
  > print(json.dumps({"key": "servers/" + json.loads(sys.argv[1]), "value": entry}))' "$@")"; }
  $ odd_entries() {
  >   for port in '70000' '-1' '0' '18446744073709551696' '80 ' ''; do N=$((N + 1)); odd "\"$1$N\"" address "\"127.0.0.1:$port\""; done
  >   for host in '256.0.0.1:80' ':80' '0.0.0.0:80' 'h.example:80' ''; do N=$((N + 1)); odd "\"$1$N\"" address "\"$host\""; done
  >   odd "\"$1slots\"" slots 1e300; odd "\"$1born\"" born 1e300; odd "\"$1many\"" slots 99999999999999999999
  >   odd "\"$1zone\"" zone '["a"]'; odd "\"$1state\"" state '"READY"'; odd "\"$1version\"" version 2
  >   python3 -c 'import base64; print(base64.b64encode(b"[" * 100000).decode())' >deep.txt
  >   python3 -c 'import base64; print(base64.b64encode(b"{\"service\":\"" + b"x" * 700000 + b"\"}").decode())' >long.txt
  >   for name in deep long; do
  >     printf '{"key":"servers/%s","bytes":"%s"}' "$1$name" "$(cat $name.txt)" >$name.json
  >     curl -s "http://$STORE/operator" -d @$name.json >/dev/null
  >   done
  > }

They name no server, on the pages of a list as in a watch, at a daemon that reads
the store and at one that asks another daemon. The others hold.

  $ start_server app1 app a; odd_entries a; start_server app2 app a
  $ for d in d1 d2 d3; do start_routed $d; eval "$d=$CALLER_ADDR"; done
  $ each() { for addr in $d1 $d2 $d3; do CALLER_ADDR=$addr "$@"; done; }
  $ odd_entries m; start_server app3 app a; sleep 1
  $ for i in $(seq 12); do each send_request /look/ok; done >out.txt; grep -c '200$' out.txt; grep -o '"server": "[^"]*"' out.txt | sort -u
  36
  "server": "app1"
  "server": "app2"
  "server": "app3"
  $ for d in d1 d2 d3; do grep '"event":1604' $d.log | grep -o '"server":"[^"]*"' | sort -u | tr '\n' ' '; grep -c '"event":1606' $d.log; done
  "server":"app1" "server":"app2" "server":"app3" 38
  "server":"app1" "server":"app2" "server":"app3" 38
  "server":"app1" "server":"app2" "server":"app3" 38
  $ cat d1.log d2.log d3.log | grep -c '"event":1114'
  0
  [1]

An id that can't be sent in a header names no server either: it would add headers
to the requests of callers. Its entry doesn't take the address from the server.

  $ for id in 'app1\r\nGoldcrestfield-Hold: odd' 'app1 ' ' app1' 'app1\n' 'app\u00e9' 'app1\u007f' "$(printf '%0200d' 0 | tr 0 ' ')"; do
  >   odd "\"$id\"" address "\"127.0.0.1:$(cat app1.ports)\""
  > done
  $ sleep 0.5; for i in $(seq 12); do each send_request /look/ok; done >out.txt; grep -c '200$' out.txt; grep -o '"server": "[^"]*"\|"hold": "[^"]*"' out.txt | sort -u
  36
  "server": "app1"
  "server": "app2"
  "server": "app3"
  $ for d in d1 d2 d3; do grep '"event":1606' $d.log | grep -c '"error":"id: '; done
  7
  7
  7

Neither does an entry that is right in all fields, with a later start time, but of a
service that the configuration doesn't name: each server is still used.

  $ stranger() { operator "{\"key\":\"servers/stranger$1\",\"value\":{\"born\":1999999999999,\"service\":\"unnamed\",
  >   \"address\":\"127.0.0.1:$(cat app$1.ports)\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}"; }
  $ for i in 1 2 3; do stranger $i; done; sleep 0.5; for i in $(seq 12); do each send_request /look/ok; done >out.txt; grep -c '200$' out.txt; grep -o '"server": "[^"]*"' out.txt | sort -u
  36
  "server": "app1"
  "server": "app2"
  "server": "app3"
  $ for i in 1 2 3; do operator "{\"key\":\"servers/stranger$i\",\"remove\":true}"; done

Keys that are no text, or have odd characters, stand beside the others. The last one
of a page is one of them; a daemon that asks another one gets the changes, too.

  $ odd_keys() {
  >   for key in 'servers/' 'servers//' 'servers/\u0000' 'servers/app2\u0000' 'servers/\udcff' 'servers/\ud800' 'servers/\ud83d\ude00' \
  >     'servers/\\ud800' 'goldcrest/daemons/\u0000' 'goldcrest/version/\udc00' "servers/$(printf '%0192d' 7)" '\u0001' '\ud800\udbff'; do
  >     operator "{\"key\":\"$key$1\",\"value\":{\"service\":\"app\"}}"
  >   done
  > }
  $ odd_keys; sleep 1; start_routed d4; d4=$CALLER_ADDR; odd_keys x; sleep 1; start_server app4 app a; sleep 1
  $ for addr in $d1 $d2 $d3 $d4; do CALLER_ADDR=$addr status /look/ok; done | uniq -c | sed 's/^ *//'
  4 200
  $ for d in d1 d2 d3 d4; do grep '"event":1604' $d.log | grep -c '"server":"app4"'; done
  1
  1
  1
  1
  $ cat d?.log | grep -c "the store can't be read"
  0
  [1]
  $ grep '"event":1619' d1.log | grep -o '"key":"[^"]*"' | sort -u | wc -l
  8

Whole pages of them end no list: what comes behind them is read, whether the store
takes them for less or more than the last character.

  $ pages() { for i in $(seq 12); do operator "{\"key\":\"$1$i\",\"value\":1}"; done; }
  $ pages 'goldcrest/\udcff'; pages 'servers/app1\ud800'; pages 'servers/app2\ud800x'; pages 'a\udcffz'; pages 'op/a\u007f\udcff'; pages 'servers/\u0000\udcff'
  $ await_ready() { for i in $(seq 50); do ready && return; sleep 0.1; done; echo not ready; }
  $ eval "$(declare -f start_routed | sed 's/await ready/await_ready/')"; start_routed d5
  $ sleep 0.5; for i in $(seq 12); do send_request /look/ok; done >out.txt; grep -c '200$' out.txt; grep '"event":1604' d5.log | grep -o '"server":"[^"]*"' | sort -u
  12
  "server":"app1"
  "server":"app2"
  "server":"app3"
  "server":"app4"
  $ kill -0 $d5_pid
  $ kill $app4_pid; operator '{"key":"servers/app4","remove":true}'; sleep 1

While an odd entry stands in the place of a good one, its server gets no new
request, but the one that it runs goes on.

  $ CALLER_ADDR=$d1 send_request /book/pause >pause.out & BOOK=$!
  $ sleep 0.3; for s in app1 app2 app3; do odd "\"$s\"" address '"127.0.0.1:70000"'; done; sleep 0.5
  $ each status /look/ok
  503
  503
  503
  $ wait $BOOK; tail -n 1 pause.out
  200

Once it is good again, the server is used.

  $ kill -USR2 $app1_pid; sleep 0.5; each send_request /look/ok | grep -o '"server": "[^"]*"\|^[0-9]*$' | sort | uniq -c | sed 's/^ *//'
  3 "server": "app1"
  3 200

Nothing is left to do with them: each daemon runs and follows the configuration.

  $ put_config ',{"name":"n","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app","max_attempts":2,"timeout_ms":1000}'
  $ sleep 1; each status /new/ok
  200
  200
  200
  $ kill -0 $d1_pid $d2_pid $d3_pid
