Guards against actions that take effect twice, or are wrongly reported as not
run, when a response is lost, or the key-value service or the backend server
fails.

  $ . "$TOP/regress/actions.sh"
  $ start_two_daemons

The same key at two daemons concurrently: one dispatch.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ send_action $d1_url $key >out1 & first=$!
  $ send_action $d2_url $key >out2; wait $first
  $ sort out1 out2
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"done"
  "state":"unknown"
  201
  409
  Retry-After
  $ effects $key
  1 of 1

A repeat of the key gets the stored outcome at both daemons.

  $ send_action $d1_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ send_action $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 1

The response to the write of the claim is lost after the write took effect.

  $ key=$(new_key); lost=$(kv_stat lost)
  $ kv_fault '{"fault":"lose","count":1}'
  $ send_action $d1_url $key
  201
  "state":"done"
  $ echo $(($(kv_stat lost) - lost)) answer lost
  1 answer lost
  $ effects $key
  1 of 2
  $ send_action $d2_url $key; effects $key
  201
  "state":"done"
  Idempotent-Replayed
  1 of 2

The backend server closes the connection before the effect: the action is in
doubt, and a repeat isn't dispatched.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_before"}'
  $ send_action $d1_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ send_action $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 2

The backend server closes the connection after the effect: the status request
returns done.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_after"}'
  $ send_action $d1_url $key
  200
  "run":"done"
  "state":"done"
  $ send_action $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 3

Without a status path, the action stays in doubt.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_after"}'
  $ send_action $d1_url $key nostatus
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ send_action $d2_url $key nostatus
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ effects $key
  1 of 4

Two faults at once: the response to the write of the claim is lost, and the
backend server closes the connection after or before the effect.

  $ key=$(new_key); lost=$(kv_stat lost)
  $ kv_fault '{"fault":"lose","count":1}'
  $ fault $b1_url '{"fault":"cut_after"}'
  $ send_action $d1_url $key
  200
  "run":"done"
  "state":"done"
  $ send_action $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ echo $(($(kv_stat lost) - lost)) answer lost
  1 answer lost
  $ effects $key
  1 of 5
  $ key=$(new_key)
  $ kv_fault '{"fault":"lose","count":1}'
  $ fault $b1_url '{"fault":"cut_before"}'
  $ send_action $d1_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ send_action $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 5

A key older than 24 h or too far in the future is never dispatched.

  $ key=$(new_key 86410000); send_action $d1_url $key; effects $key
  409
  "code":"key_expired"
  "run":"in_doubt"
  0 of 5
  $ key=$(new_key -400000); send_action $d1_url $key; effects $key
  400
  "code":"key_in_future"
  "run":"not_run"
  0 of 5

The key-value service is down: the action is refused as not run, and nothing
reaches the backend server. Afterwards the same key can be used.

  $ key=$(new_key)
  $ kv_fault '{"fault":"outage","ms":60000}'
  $ send_action $d1_url $key
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ kv_fault '{"fault":"outage","ms":60000,"cut":true}'
  $ send_action $d2_url $key
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ effects $key
  0 of 5
  $ kv_fault '{"fault":"clear"}'
  $ send_action $d1_url $key
  201
  "state":"done"
  $ send_action $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 6
