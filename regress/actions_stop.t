Guards against outcomes lost when a daemon stops with actions in flight, and
against results of claims delivered to a thread that has ended.

  $ . "$TOP/regress/actions.sh"
  $ start_two_daemons
  $ granted() { curl -s -H "Authorization: Bearer $OPERATOR_KEY" $1/metrics |
  >   grep -q 'goldcrest_claims_total{answer="granted"} 1'; }

An action in flight at SIGTERM ends normally and its outcome is stored, also if
its caller has disconnected.

  $ key=$(new_key); abandoned=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500,"count":2}'
  $ send_action $d1_url $key nostatus >out1 & caller=$!
  $ await granted $d1_ops
  $ curl -s -m 0.4 -X POST -H 'Authorization: Bearer quick-key' \
  >   -H "Idempotency-Key: $abandoned" -H 'Content-Type: application/json' \
  >   "$d1_url/v1/services/nostatus/bookings" -d '{"item":"sofa"}'
  [28]
  $ kill -TERM $d1_pid; wait $caller; cat out1
  201
  "state":"done"
  $ wait $d1_pid; echo status $?
  status 0
  $ send_action $d2_url $key nostatus
  201
  "state":"done"
  Idempotent-Replayed
  $ send_action $d2_url $abandoned nostatus
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key; effects $abandoned
  1 of 2
  1 of 2

The daemon waits for a slow key-value service to store the outcome.

  $ start_daemon d3; await reads_service $d3_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ send_action $d3_url $key nostatus >out1 & caller=$!
  $ await granted $d3_ops; kill -TERM $d3_pid
  $ kv_fault '{"fault":"outage","ms":2500}'
  $ wait $caller; cat out1; wait $d3_pid; echo status $?
  201
  "state":"done"
  status 0
  $ kv_fault '{"fault":"clear"}'
  $ send_action $d2_url $key nostatus; effects $key
  201
  "state":"done"
  Idempotent-Replayed
  1 of 3

An action takes longer than the grace period: the caller is told that it is in
doubt, and the daemon ends.

  $ start_daemon d4 ',"stop_grace_s":1'; await reads_service $d4_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":6000}'
  $ send_action $d4_url $key >out1 & caller=$!
  $ await granted $d4_ops; kill -TERM $d4_pid
  $ wait $caller; cat out1; wait $d4_pid; echo status $?
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  status 0
  $ await effects_are $key "1 of 4"
  $ send_action $d2_url $key; effects $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  1 of 4

The daemon stops with a pending claim while the key-value service is down:
nothing is run, and the daemon ends within 12 s.

  $ start_daemon d5 ',"stop_grace_s":0'; await reads_service $d5_url
  $ key=$(new_key)
  $ kv_fault '{"fault":"outage","ms":60000}'
  $ send_action $d5_url $key >out1 & caller=$!
  $ sleep 0.2; kill -TERM $d5_pid; wait $caller; grep -c '201\|done' out1
  0
  [1]
  $ start=$(date +%s); wait $d5_pid; echo status $?
  status 0
  $ test $(($(date +%s) - start)) -lt 12
  $ effects $key
  0 of 4
