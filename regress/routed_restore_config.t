Guards against a daemon that starts after the store went back to a copy and takes the
copy's configuration for the one in force: it runs requests with a key that was
withdrawn since.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config; start_server app1 app a; start_server app2 app b
  $ start_routed d1; D1=$CALLER_ADDR; start_routed d2
  $ keeps_era() { curl -s "http://$STORE/v1/kv-key?key=goldcrest%2Fera" | grep -q "\"value\": *\"$(printf $1 | base64)\""; }
  $ await keeps_era 1
  $ withdrawn() { AUTH=' Token key-2' status /book/ok; }; sound() { status /book/ok; }
  $ is_refused() { [ "$(withdrawn)" = 401 ]; }; is_served() { [ "$(sound)" = 200 ]; }
  $ CALLER_ADDR=$D1; withdrawn
  200
  $ store_fault '{"checkpoint": true}'; put_config '' ''; await is_refused

A daemon that starts gets the configuration in force from those that went through the
restore, and serves with it at once.

  $ store_fault '{"restore": true}'; start_routed d3; D3=$CALLER_ADDR
  $ for i in 1 2 3 4 5 6 7 8; do withdrawn; sleep 0.2; done | sort | uniq -c | awk '{ print $1, $2 }'
  8 401
  $ sound; grep -o '"message":"the configuration is in force","reason":"[^"]*"' d3.log
  200
  "message":"the configuration is in force","reason":"another daemon knows it"
  $ CALLER_ADDR=$D1; sound; withdrawn
  200
  401

So does one that starts while the others haven't noticed it: theirs is in force, too.

  $ store_fault '{"restore": true}'; start_routed d4; withdrawn; sound
  401
  200

So does one that starts from a copy that is older than the era that the store keeps, so
that it can't know of the restore. The others haven't heard of the store for long.

  $ operator '{"key":"goldcrest/era","remove":true}'; store_fault '{"checkpoint": true}'
  $ store_fault '{"mode": "busy"}'; sleep 4; store_fault '{"mode": "ok", "restore": true}'; start_routed d9; withdrawn; sound; kill_9 $d9_pid
  401
  200
  $ grep -c 'may be older than the one in force' d9.log
  0
  [1]
  $ operator '{"key":"goldcrest/era","value":1}'; store_fault '{"checkpoint": true}'

All start anew: nobody knows it. They refuse until the operator writes again.

  $ kill_9 $d1_pid; kill_9 $d2_pid; kill_9 $d3_pid; kill_9 $d4_pid; store_fault '{"restore": true}'
  $ launch_routed d5; await grep -q 'may be older than the one in force' d5.log
  $ withdrawn; send_request /book/ok -D head.txt | grep -o '"run":"[a-z_]*"\|^[0-9]*$'; grep -i -c '^retry-after:' head.txt
  503
  "run":"not_run"
  503
  1
  $ put_config '' ''; START=$(date +%s%3N); await is_served; echo $(($(date +%s%3N) - START)) | awk '$1 > 1500 { print "late", $1 }'; withdrawn
  401
  $ grep -o '"message":"the configuration is in force","reason":"[^"]*"' d5.log
  "message":"the configuration is in force","reason":"the operator has written it"

Nobody writes: the copy's is the newest that there is.

  $ kill_9 $d5_pid; store_fault '{"restore": true}'; START=$(date +%s%3N); start_routed d6
  $ echo $(($(date +%s%3N) - START)) | awk '{ print ($1 >= 5000 && $1 < 7000) }'; sound
  1
  200

A daemon that starts without a restore before serves at once, and one that doesn't know
the configuration doesn't give it.

  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$PEER_ADDR/peer/config?newer_than=0"
  200
  $ store_fault '{"restore": true}'; kill_9 $d6_pid; launch_routed d7; await grep -q 'may be older' d7.log
  $ curl -s -o /dev/null -w '%{http_code}\n' "http://$PEER_ADDR/peer/config?newer_than=0"
  404
