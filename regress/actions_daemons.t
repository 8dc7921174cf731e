Guards against actions that take effect twice when a daemon dies or pauses
between the claim and the outcome, and its caller repeats the key elsewhere.

  $ . "$TOP/regress/actions.sh"
  $ two_daemons

Killed after the dispatch, before the effect: another daemon finds the claim
and reads the status; first in doubt, then done.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ granted() { curl -s -H "Authorization: Bearer $OPERATOR_KEY" $1/metrics |
  >   grep -q 'goldcrest_claims_total{answer="granted"} 1'; }
  $ act $d1_url $key >out1 & caller=$!
  $ await granted $d1_ops; sleep 0.2
  $ kill_9 $d1_pid; wait $caller
  $ act $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 0
  $ await effects_are $key "1 of 1"
  $ act $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 1

The same without a status read: it stays in doubt.

  $ start_daemon d3
  $ await reads $d3_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ act $d3_url $key blind >out1 & caller=$!
  $ await granted $d3_ops; sleep 0.2
  $ kill_9 $d3_pid; wait $caller
  $ await effects_are $key "1 of 2"
  $ act $d2_url $key blind
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ effects $key
  1 of 2

Paused while the action is at the backend server: a repeat elsewhere doesn't
dispatch. Once resumed, the daemon gives its caller the answer.

  $ start_daemon d4
  $ await reads $d4_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ act $d4_url $key >out1 & caller=$!
  $ await granted $d4_ops; sleep 0.2
  $ kill -STOP $d4_pid
  $ act $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ await effects_are $key "1 of 3"
  $ act $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ kill -CONT $d4_pid; wait $caller; cat out1
  201
  "state":"done"
  $ act $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 3

Paused before the claim was written, beyond the time of a dispatch: the action
runs at another daemon, and the resumed one refuses it.

  $ key=$(new_key)
  $ kv_fault '{"fault":"delay","ms":1000}'
  $ act $d4_url $key >out1 & caller=$!
  $ sleep 0.2; kill -STOP $d4_pid; sleep 1
  $ kv_fault '{"fault":"clear"}'
  $ act $d2_url $key
  201
  "state":"done"
  $ sleep 3.5; kill -CONT $d4_pid; wait $caller; cat out1
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ effects $key
  1 of 4

Paused after the claiming write took effect, before its answer came: in doubt
elsewhere as long as that claim stands. The resumed daemon doesn't dispatch
that late, and gives the claim back; then the key is free.

  $ key=$(new_key)
  $ kv_fault '{"fault":"delay","ms":1000,"answers":true}'
  $ act $d4_url $key >out1 & caller=$!
  $ sleep 0.4; kill -STOP $d4_pid; sleep 1
  $ kv_fault '{"fault":"clear"}'
  $ act $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 4
  $ sleep 3.5; kill -CONT $d4_pid; wait $caller; cat out1
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ free() { act $d2_url $key >out2; head -n 1 out2 | grep -q 201; }
  $ await free; cat out2
  201
  "state":"done"
  $ effects $key
  1 of 5
