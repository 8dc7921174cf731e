Guards against daemons that mix two histories of the store after it went back to
a copy: configurations that are ignored for good or replaced by the copy's older
one, servers that have left and get requests again, entries of daemons that stay
away because a renewal of another daemon's lease succeeds.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a
  $ start_routed d1; D1=$CALLER_ADDR D1_PEER=$PEER_ADDR D1_CONTROL=$CONTROL_ADDR
  $ store_fault '{"checkpoint":true}'
  $ start_routed d2; D2=$CALLER_ADDR
  $ start_routed d3; D3=$CALLER_ADDR; sleep 1
  $ statuses() { for CALLER_ADDR in $D1 $D2 $D3; do status "$@"; done | sort | uniq -c | awk '{ print $1, $2 }'; }
  $ NEW=',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}'

After the copy was made, key-2 is withdrawn, a route is added and app1 drains.
Then the store comes back from the copy.

  $ put_config "$NEW" ''; VERSION=$CONFIG_VERSION
  $ kill -USR1 $app1_pid; sleep 1.2
  $ statuses /new/ok; AUTH=' Token key-2' statuses /look/ok
  3 200
  3 401
  $ RUNS=$(field app1 runs | wc -c)
  $ store_fault '{"restore":true}'
  $ for i in 1 2 3 4 5 6; do statuses /new/ok; AUTH=' Token key-2' statuses /look/ok; sleep 0.3; done | sort | uniq -c
        6 3 200
        6 3 401
  $ echo $(($(field app1 runs | wc -c) - RUNS))
  0
  $ grep -l '"event": *1612' d[1-3].log | wc -l
  3
  $ grep -h '"event": *1612' d[1-3].log | grep -c '"old_era":"1".*"new_era":"2"'
  3

The daemons registered after the copy was made have written their entries again.

  $ daemons() { curl -s "http://$STORE/v1/kv-range?path_prefix=goldcrest/daemons/" | grep -o '"key": "[^"]*"' | tr '\n' ' '; echo; }
  $ sleep 1; daemons
  "key": "goldcrest/daemons/d1" "key": "goldcrest/daemons/d2" "key": "goldcrest/daemons/d3" 

What the operator writes again has lower revisions than before. The next version
takes effect at all daemons.

  $ CONFIG_VERSION=$((VERSION - 3)); put_config "$NEW" ''; sleep 0.5; put_config '' ''
  $ sleep 2; statuses /new/ok; statuses /look/ok
  3 404
  3 200

A watcher refuses to answer for another era, and names its own.

  $ curl -s -w ' %{http_code}\n' "http://$D1_PEER/peer/changes?after=1&era=1&wait_ms=500"
  {"era":2} 410
  $ curl -s -w ' %{http_code}\n' "http://$D1_PEER/peer/changes?after=1&wait_ms=500"
  {"era":2} 410

Two restores in a row, one while the store is silent, with responses that lack
the era. A watch that waits at a watcher is refused as soon as that knows.

  $ { curl -s --max-time 9 -w ' %{http_code}\n' "http://$D1_PEER/peer/changes?after=99999&era=2&wait_ms=20000" >poll.txt; } & poll=$!
  $ store_fault '{"mode":"silent"}'; sleep 0.3; store_fault '{"restore":true}'; sleep 0.5
  $ store_fault '{"mode":"ok","restore":true,"omit_era":2}'; sleep 2.5; cat poll.txt
  {"era":4} 410
  $ statuses /look/ok; AUTH=' Token key-2' statuses /look/ok
  3 200
  3 401
  $ put_config "$NEW" ''; sleep 2; statuses /new/ok; daemons
  3 200
  "key": "goldcrest/daemons/d1" "key": "goldcrest/daemons/d2" "key": "goldcrest/daemons/d3" 
  $ for d in d1 d2 d3; do grep '"event": *1612' $d.log | tail -1 | grep -o '"new_era":"[0-9]*"'; done
  "new_era":"4"
  "new_era":"4"
  "new_era":"4"

A header that is no era proves no restore, and changes still take effect.

  $ for text in -1 +9 4x 99999999999999999999 ''; do store_fault "{\"era_text\":\"$text\"}"; await grep -q "\"event\":1613,.*\"value\":\"$text\"" d1.log d2.log d3.log; sleep 0.5; done
  $ put_config '' ''; sleep 2; statuses /new/ok; grep -h '"event": *1612' d[1-3].log | grep -c '"new_era":"4"'
  3 404
  3

A restore that is seen through a peer only: d4 has another store, in which two
daemons stand that know a later era. It takes nothing from its store until that
has reached this era too.

  $ cat >peer.py <<END
  > import http.server, time
  > class Handler(http.server.BaseHTTPRequestHandler):
  >     def do_GET(self):
  >         body = b'{"era":3}'
  >         self.send_response(410)
  >         self.send_header("Content-Length", str(len(body)))
  >         self.end_headers()
  >         self.wfile.write(body)
  >     def log_message(self, *args):
  >         pass
  > server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
  > open("peer.ports", "w").write("%d\n" % server.server_port)
  > server.serve_forever()
  > END
  $ python3 peer.py & pids="$pids $!"
  $ await test -s peer.ports; rm store.ports
  $ start_store; put_config
  $ start_server app3 app a; start_routed d4; status /look/ok
  200
  $ for d in a1 a2; do operator "{\"key\":\"goldcrest/daemons/$d\",\"value\":{\"address\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:$(cat peer.ports)\",\"failure_domain\":\"a\"}}"; done
  $ sleep 1.5; store_fault '{"checkpoint":true}'
  $ grep '"event": *1612' d4.log | grep -o '"old_era":"1".*"new_era":"3"'
  "old_era":"1","new_era":"3"
  $ put_config "$NEW"; sleep 2.5; status /new/ok; AUTH= status /open/ok
  503
  200
  $ store_fault '{"restore":true}'; store_fault '{"restore":true}'; put_config "$NEW"; sleep 2.5; status /new/ok
  200
  $ grep -c '"event": *1612' d4.log
  1
