Guards against routed requests that reach the wrong service, run more often than
allowed, get bytes of another request's response, or are refused needlessly.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b
  $ start_routed d1

The request is forwarded unchanged, without the API key and with the client
account's name; headers that only the system may set are removed.

  $ send_request /look/ok?x=1 -X POST -d hello -H 'Goldcrestfield-Hold: h' | sed 's/app[12]/appN/'
  {"server": "appN", "method": "POST", "target": "/look/ok?x=1", "account": "north", "key": null, "hold": null, "body": "hello"}
  200
  $ AUTH= send_request /open/ok | grep -o '"account": [a-z]*'
  "account": null

Requests that the daemon refuses itself.

  $ status /nowhere/ok
  404
  $ HOST=other.example status /look/ok
  404
  $ AUTH=' Token wrong' status /look/ok
  401
  $ AUTH= status /look/ok
  401
  $ status /look/ok -X POST -d "$(printf '%6000s' x)"
  413
  $ status /look/ok -H "X-Fill: $(printf '%2500s' x | tr ' ' x)"
  431

An idempotent request is retried after a failure, up to max_attempts. A
non-idempotent one is not, and its error does not claim that it has not run.

  $ status /look/once-cut
  200
  $ status /look/once-fail
  200
  $ status /look/once-short
  200
  $ status /look/once-wrong
  200
  $ status /look/fail
  500
  $ status /look/cut
  502
  $ status /book/once-cut
  502
  $ status /book/once-wrong
  502
  $ status /book/fail
  500
  $ status /book/hang
  504

A request that the server states it did not run is sent to another server, or
refused with Retry-After.

  $ status /book/once-shed
  200
  $ send_request /book/shed -D head.txt | tail -n 1; grep -o 'Retry-After: 0' head.txt
  503
  Retry-After: 0

Responses that are late, duplicated or without a length.

  $ for i in 1 2 3; do send_request /look/late | tail -n 1; done
  200
  200
  200
  $ for i in 1 2 3; do send_request /book/extra | tail -n 1; send_request /book/ok | grep -c '"target": "/book/ok"'; done
  200
  1
  200
  1
  200
  1
  $ send_request /book/unframed
  unframed
  200

The log names the limit that prevented a further attempt: max_attempts was
reached ("attempts"; for the 503, as both servers were full), a non-idempotent
request may have run ("once"), or the time limit passed ("time").

  $ grep '"event":111[012]' d1.log | grep -o '"status":"50[0-9]".*"limit":"[a-z]*"' |
  >     sed 's/"ms".*"limit/"limit/; s/"attempts":"[0-9]*",//' | sort | uniq -c
        1 "status":"500","limit":"attempts"
        1 "status":"500","limit":"once"
        1 "status":"502","reason":"the backend server did not complete a response","limit":"attempts"
        2 "status":"502","reason":"the backend server did not complete a response","limit":"once"
        1 "status":"503","reason":"no backend server could run the request","limit":"attempts"
        1 "status":"504","reason":"the backend server did not respond in time","limit":"time"

No request ran more than twice (max_attempts), and each server was sent a
deadline within the caller's and the route's.

  $ python3 - <<END
  > import json, urllib.request
  > runs, left = [], []
  > for name in "app1", "app2":
  >     port = open(name + ".ports").read().strip()
  >     stats = json.load(urllib.request.urlopen(f"http://127.0.0.1:{port}/stats"))
  >     runs += stats["runs"]
  >     left += [seen["deadline"] for seen in stats["seen"]]
  > print("deadlines", min(left) > 0, max(left) <= 1500)
  > print("more than twice", sorted({r for r in runs if runs.count(r) > 2}))
  > END
  deadlines True True
  more than twice []

A server that was restarted at the same address under another id responds 421 to
requests for the old id; they are sent to another server.

  $ operator '{"key":"servers/app1","remove":true}'
  $ operator "{\"key\":\"servers/old\",\"value\":{\"service\":\"app\",\"address\":\"127.0.0.1:$(cat app1.ports)\",\"zone\":\"a\",\"slots\":4,\"born\":$(date +%s%3N),\"state\":\"ready\"}}"
  $ sleep 0.3; for i in 1 2 3; do status /book/ok; sleep 0.2; done
  200
  200
  200

The old id gets one request, then none until its entry is removed.

  $ grep '"event":1114' d1.log | grep -c '"server":"old"'
  1
