Guards against actions that take effect twice when a daemon is killed or paused
between claim and outcome, and the caller repeats the key at another daemon.

  $ . "$TOP/regress/actions.sh"
  $ start_two_daemons

The daemon is killed after the dispatch, before the effect: another daemon finds
the claim and requests the status. The action is in doubt, later done.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ granted() { curl -s -H "Authorization: Bearer $OPERATOR_KEY" $1/metrics |
  >   grep -q 'goldcrest_claims_total{answer="granted"} 1'; }
  $ send_action $d1_url $key >out1 & caller=$!
  $ await granted $d1_ops; sleep 0.2
  $ kill_9 $d1_pid; wait $caller
  $ send_action $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 0
  $ await effects_are $key "1 of 1"
  $ send_action $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 1

The same without a status path: the action stays in doubt.

  $ start_daemon d3
  $ await reads_service $d3_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ send_action $d3_url $key nostatus >out1 & caller=$!
  $ await granted $d3_ops; sleep 0.2
  $ kill_9 $d3_pid; wait $caller
  $ await effects_are $key "1 of 2"
  $ send_action $d2_url $key nostatus
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ effects $key
  1 of 2

The daemon is paused while the backend server runs the action: a repeat at
another daemon isn't dispatched. Once resumed, the daemon answers its caller.

  $ start_daemon d4
  $ await reads_service $d4_url
  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ send_action $d4_url $key >out1 & caller=$!
  $ await granted $d4_ops; sleep 0.2
  $ kill -STOP $d4_pid
  $ send_action $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ await effects_are $key "1 of 3"
  $ send_action $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ kill -CONT $d4_pid; wait $caller; cat out1
  201
  "state":"done"
  $ send_action $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 3

The daemon is paused before the claim is written, until after the dispatch
deadline: another daemon runs the action, and the resumed daemon refuses it.

  $ key=$(new_key)
  $ kv_fault '{"fault":"delay","ms":1000}'
  $ send_action $d4_url $key >out1 & caller=$!
  $ sleep 0.2; kill -STOP $d4_pid; sleep 1
  $ kv_fault '{"fault":"clear"}'
  $ send_action $d2_url $key
  201
  "state":"done"
  $ sleep 3.5; kill -CONT $d4_pid; wait $caller; cat out1
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ effects $key
  1 of 4

The daemon is paused after the claim was written, before the response to the
write arrives: the action is in doubt at other daemons as long as the claim
exists. The resumed daemon is past its deadline: it doesn't dispatch the action
and releases the claim. Then the key can be used again.

  $ key=$(new_key)
  $ kv_fault '{"fault":"delay","ms":1000,"answers":true}'
  $ send_action $d4_url $key >out1 & caller=$!
  $ sleep 0.4; kill -STOP $d4_pid; sleep 1
  $ kv_fault '{"fault":"clear"}'
  $ send_action $d2_url $key
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
  $ key_released() { send_action $d2_url $key >out2; head -n 1 out2 | grep -q 201; }
  $ await key_released; cat out2
  201
  "state":"done"
  $ effects $key
  1 of 5
