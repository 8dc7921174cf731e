Guards against orders of roll-outs that no daemon can read, that are written although
an argument is wrong, or that overwrite another operator's, and against a status or an
exit code that tells the operator the wrong outcome.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ unset GOLDCREST_URLS GOLDCREST_OPERATOR_KEY
  $ start_store
  $ rollout() { goldcrestctl --store $STORE rollout "$@"; }
  $ json() { goldcrestctl --store $STORE --json rollout "$@"; }
  $ stored() {
  >   curl -s "http://$STORE/v1/kv-key?key=op%2Frollout%2F$1" |
  >     python3 -c 'import base64, json, sys; print(base64.b64decode(json.load(sys.stdin)["value"]).decode())'
  > }
  $ writes() { curl -s "http://$STORE/stats" | grep -o '"kv-txn": [0-9]*'; }
  $ record() {
  >   operator "{\"key\":\"status/rollout/app\",\"value\":{\"service\":\"app\",
  >     \"target\":\"v2\",\"duration_ms\":12000,\"started_ms\":1,\"routes\":[],$1}}"
  > }

Before the first order.

  $ rollout app
  no order
  no status
  $ json app
  {"order":null,"status":null}

An order.

  $ rollout app v2 12
  ordered: app to v2 within 12 s
  $ stored app
  {"service":"app","target":"v2","duration_s":12}
  $ rollout app
  order 11: app to v2 within 12 s
  no status

Its status: running, and decided.

  $ record '"state":"running","reason":"","order":11,"share":0.08,"barred":["v0",""]'
  $ rollout app
  order 11: app to v2 within 12 s
  status: running, target v2, order 11, share 0.08
  barred: v0
  barred: (no version)
  $ rollout -w -t 1 app
  order 11: app to v2 within 12 s
  status: running, target v2, order 11, share 0.08
  barred: v0
  barred: (no version)
  [5]
  $ record '"state":"rolled_back","reason":"failures on look","order":11,"share":0,"barred":["v2"]'
  $ rollout app
  order 11: app to v2 within 12 s
  status: rolled_back, target v2, order 11
  reason: failures on look
  barred: v2
  $ json app | python3 -m json.tool --sort-keys
  {
      "order": {
          "duration_s": 12.0,
          "id": 11,
          "service": "app",
          "target": "v2"
      },
      "status": {
          "barred": [
              "v2"
          ],
          "order": 11,
          "reason": "failures on look",
          "share": 0.0,
          "state": "rolled_back",
          "target": "v2"
      }
  }
  $ rollout -w app
  order 11: app to v2 within 12 s
  status: rolled_back, target v2, order 11
  reason: failures on look
  barred: v2
  [6]

A wait for a new order doesn't end with the status of the one before it.

  $ json app v2 2
  {"duration_s":2,"removed":false,"service":"app","target":"v2"}
  $ rollout -w -t 1 app
  order 14: app to v2 within 2 s
  status: rolled_back, target v2, order 11, of another order
  reason: failures on look
  barred: v2
  [5]
  $ (sleep 1; record '"state":"succeeded","reason":"","order":14,"share":1,"barred":["v1"]') &
  $ rollout -w app
  order 14: app to v2 within 2 s
  status: succeeded, target v2, order 14
  barred: v1

An order that was written again after the store went back to a copy has another revision
than its record, which is written again later.

  $ rollout app v2 12
  ordered: app to v2 within 12 s
  $ record '"state":"rolled_back","reason":"failures on look","order":14,"share":0,"barred":["v2"]'
  $ rollout -w -t 1 app
  order 16: app to v2 within 12 s
  status: rolled_back, target v2, order 14
  reason: failures on look
  barred: v2
  [6]
  $ rollout app v4 12
  ordered: app to v4 within 12 s
  $ rollout app | tail -n 3
  status: rolled_back, target v2, order 14, of another order
  reason: failures on look
  barred: v2

The order is removed; a second removal finds none.

  $ rollout -r app
  order for app removed
  $ rollout -r app
  goldcrestctl: no order for service app
  [1]
  $ rollout app
  no order
  status: rolled_back, target v2, order 14
  reason: failures on look
  barred: v2
  $ rollout app v3 5 && json -r app
  ordered: app to v3 within 5 s
  {"removed":true,"service":"app"}

Wrong arguments are named, and nothing is written.

  $ before=$(writes)
  $ long=$(printf 'x%.0s' $(seq 201))
  $ rollout
  goldcrestctl: rollout: expected SERVICE TARGET SECONDS, or SERVICE with at most one of -r and -w
  [2]
  $ rollout app v2
  goldcrestctl: rollout: expected SERVICE TARGET SECONDS, or SERVICE with at most one of -r and -w
  [2]
  $ rollout -r app v2 12
  goldcrestctl: rollout: expected SERVICE TARGET SECONDS, or SERVICE with at most one of -r and -w
  [2]
  $ rollout -r -w app
  goldcrestctl: rollout: -r and -w exclude each other
  [2]
  $ rollout -t 5 app
  goldcrestctl: rollout: -t needs -w
  [2]
  $ rollout -w -t soon app
  goldcrestctl: rollout: -t: expected a whole number from 1 to 86400, not "soon"
  [2]
  $ for s in 0 -1 1.5 12s 86401 99999999999999999999 ''; do rollout app v2 -- "$s"; echo $?; done
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "0"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "-1"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "1.5"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "12s"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "86401"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not "99999999999999999999"
  2
  goldcrestctl: rollout: SECONDS: expected a whole number from 1 to 86400, not ""
  2
  $ for t in '' $long "$(printf 'v\t2')" "$(printf '\377')"; do rollout app "$t" 12; echo $?; done
  goldcrestctl: rollout: TARGET: expected a version of 1 to 200 bytes, without control characters
  2
  goldcrestctl: rollout: TARGET: expected a version of 1 to 200 bytes, without control characters
  2
  goldcrestctl: rollout: TARGET: expected a version of 1 to 200 bytes, without control characters
  2
  goldcrestctl: rollout: TARGET: expected a version of 1 to 200 bytes, without control characters
  2
  $ for s in '' ${long%xxxxxxxxxxxxxxx} "$(printf 'a\nb')"; do rollout "$s" v2 12; echo $?; done
  goldcrestctl: rollout: SERVICE: expected a name whose keys have at most 200 bytes, without control characters
  2
  goldcrestctl: rollout: SERVICE: expected a name whose keys have at most 200 bytes, without control characters
  2
  goldcrestctl: rollout: SERVICE: expected a name whose keys have at most 200 bytes, without control characters
  2
  $ for s in store 127.0.0.1 127.0.0.1:0; do goldcrestctl --store $s rollout app v2 12; echo $?; done
  goldcrestctl: --store: expected IP:PORT, not "store"
  2
  goldcrestctl: --store: expected IP:PORT, not "127.0.0.1"
  2
  goldcrestctl: --store: expected IP:PORT, not "127.0.0.1:0"
  2
  $ goldcrestctl rollout app v2 12
  goldcrestctl: rollout: expected --store
  [2]
  $ [ "$(writes)" = "$before" ]

Other commands still need a daemon and a key.

  $ goldcrestctl --store $STORE status
  goldcrestctl: expected --url or GOLDCREST_URLS
  [2]
  $ goldcrestctl --store $STORE --url http://127.0.0.1:1 status
  goldcrestctl: expected --key-file or GOLDCREST_OPERATOR_KEY
  [2]

An order and a status that can't be read.

  $ rollout app v2 2
  ordered: app to v2 within 2 s
  $ record '"state":"paused"'
  $ rollout app >out 2>err; echo $?; cat out; sed "s/$STORE/STORE/" err
  1
  order 22: app to v2 within 2 s
  goldcrestctl: STORE: decode roll-out record: state: missing or invalid
  $ rollout -w app 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  goldcrestctl: STORE: decode roll-out record: state: missing or invalid
  1
  $ operator '{"key":"status/rollout/app","value":[]}'
  $ json app 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  {"order":{"duration_s":2.0,"id":22,"service":"app","target":"v2"},"status":null}
  goldcrestctl: STORE: decode roll-out record: not an object
  1

An order of another tool that no daemon can carry out is reported with its status.

  $ operator '{"key":"op/rollout/app","value":{"service":"llm","target":"v2","duration_s":5}}'
  $ record '"state":"rolled_back","reason":"service: differs from the key","order":0'
  $ rollout -w app 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  status: rolled_back, target v2, order 0
  reason: service: differs from the key
  6

A store that refuses, that sends no response, and that can't be reached.

  $ store_fault '{"mode":"busy"}'
  $ rollout app v2 12 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  goldcrestctl: STORE: get store: HTTP status 503
  4
  $ store_fault '{"mode":"lost"}'
  $ rollout -w -t 1 app 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  goldcrestctl: STORE: http store: Server returned nothing (no headers, no data)
  4
  $ store_fault '{"mode":"silent"}'
  $ rollout app 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  goldcrestctl: STORE: http store: Timeout was reached
  4
  $ store_fault '{"mode":"ok"}'
  $ STORE=127.0.0.1:$(free_port)
  $ for arguments in app '-r app' 'app v2 12' '-w -t 1 app'; do
  >   rollout $arguments 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  > done
  goldcrestctl: STORE: http store: Couldn't connect to server
  4
  goldcrestctl: STORE: http store: Couldn't connect to server
  4
  goldcrestctl: STORE: http store: Couldn't connect to server
  4
  goldcrestctl: STORE: http store: Couldn't connect to server
  4

A store that closes the connection of a write, after which the order may be there; one in
which another operator was faster; and one that doesn't let this one write.

  $ cat >refusing.py <<END
  > import http.server, sys
  > class Handler(http.server.BaseHTTPRequestHandler):
  >     def do_GET(self):
  >         self.send_error(404)
  >     def do_POST(self):
  >         if int(sys.argv[1]):
  >             self.send_error(int(sys.argv[1]))
  >     def log_message(self, *args):
  >         pass
  > with http.server.HTTPServer(("127.0.0.1", 0), Handler) as server:
  >     with open("refusing.ports", "w") as f:
  >         print(server.server_port, file=f)
  >     server.serve_forever()
  > END
  $ for status in 0 412 403; do
  >   rm -f refusing.ports; python3 refusing.py $status & pids="$pids $!"
  >   await test -s refusing.ports; STORE=127.0.0.1:$(cat refusing.ports)
  >   rollout app v2 12 2>&1 | sed "s/$STORE/STORE/"; echo ${PIPESTATUS[0]}
  > done
  goldcrestctl: STORE: http store: Server returned nothing (no headers, no data)
  goldcrestctl: it is not known whether the order was changed
  1
  goldcrestctl: STORE: put store: HTTP status 412
  goldcrestctl: conflict: the order has been changed meanwhile
  3
  goldcrestctl: STORE: put store: HTTP status 403
  1
