Guards against configurations that take effect late, are replaced by older ones
or admit revoked keys, against requests to servers that have been removed, and
against clients that get addresses of daemons that no longer run.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ start_routed d1; D1=$CALLER_ADDR D1_CONTROL=$CONTROL_ADDR
  $ start_routed d2; D2=$CALLER_ADDR
  $ CALLER_ADDR=$D1 CONTROL_ADDR=$D1_CONTROL

Clients get the addresses of both daemons; after one daemon is killed, only the
address of the other.

  $ addresses() { curl -s "http://$CONTROL_ADDR/v1/resolve?name=h.example&zone=a" | sed "s/$D1/D1/; s/$D2/D2/"; echo; }
  $ addresses
  {"addresses":["D1","D2"],"ttl_s":2}
  $ kill_9 $d2_pid; sleep 4; addresses
  {"addresses":["D1"],"ttl_s":2}

A new route and the removal of a key apply to the next request; so does undoing
both.

  $ status_is() { [ "$(status $2)" = $1 ]; }
  $ await status_is 404 /new/ok
  $ put_config ',{"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","service":"app"}' ''; sleep 0.5
  $ status /new/ok
  200
  $ AUTH=' Token key-2' await status_is 401 /look/ok
  $ put_config; sleep 0.4; await status_is 404 /new/ok
  $ AUTH=' Token key-2' status /look/ok
  200

The store discards its change history: the next change still takes effect.

  $ store_fault '{"compact":true}'; sleep 0.5
  $ put_config '' ''; sleep 1
  $ AUTH=' Token key-2' await status_is 401 /look/ok

A draining server gets no requests; with no other server the refusal has a
Retry-After header.

  $ start_server app2 app a; sleep 0.5; kill -USR1 $app1_pid; sleep 0.5
  $ for i in 1 2 3 4; do send_request /look/ok; done | grep -o '"server": "[a-z0-9]*"' | sort -u
  "server": "app2"
  $ kill -USR1 $app2_pid; sleep 0.5; send_request /look/ok -D head.txt -o /dev/null; grep -o 'Retry-After: 0' head.txt
  503
  Retry-After: 0
  $ start_server app3 app a; sleep 0.5; status /look/ok
  200

Invalid entries of other writers are ignored and do not stop the service.

  $ operator '{"key":"servers/x1","value":{"service":"app","state":"ready"}}'
  $ operator '{"key":"servers/x2","value":"nonsense"}'
  $ operator '{"key":"op/config","value":{"version":"none"}}'
  $ sleep 0.5; status /look/ok
  200
  $ put_config; sleep 0.5

The store does not answer: requests are served until the revocation bound, then
those with a key are refused as not run. Unknown routes and keys get a 503
instead of a 404 or 401.

  $ store_fault '{"mode":"silent"}'; sleep 1; status /look/ok
  200
  $ sleep 1.5; status /nowhere/ok
  503
  $ sleep 3.2; send_request /look/ok | grep -o 'not_confirmed\|not_run\|^503'
  not_confirmed
  not_run
  503
  $ AUTH= status /open/ok
  200
  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$CONTROL_ADDR/v1/ready"
  503
  $ store_fault '{"mode":"ok"}'; await ready; status /look/ok
  200
  $ grep -o '"message":"the store [^"]*"' d1.log | sort | uniq -c | awk '{ print $2, $3, $4, $5, $6 }'
  "message":"the store can be read"
  "message":"the store can't be read"

With revoke_strictly false, a daemon without contact to the store keeps serving.

  $ start_server app2 app b
  $ start_routed d3 ',"revoke_strictly":false'; D3=$CALLER_ADDR
  $ start_routed d4 ',"repeat_slack":0'
  $ store_fault '{"mode":"silent"}'; sleep 5.5; CALLER_ADDR=$D3 status /look/ok
  200

The retry budget also counts requests that could not be admitted, so that the
others can still be retried.

  $ for i in 1 2 3 4; do status /look/ok; done | uniq -c
        4 503
  $ AUTH= status /open/once-fail
  200

  $ echo '{"mode":"routed","revoke_strictly":"no"}' >bad.json
  $ goldcrestd -n -f bad.json 2>&1 | grep revoke
  revoke_strictly: neither true nor false
