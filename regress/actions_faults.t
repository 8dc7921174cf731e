Guards against actions that take effect twice, or whose refusal as not run is
wrong, when an answer, the key-value service or the backend server fails.

  $ . "$TOP/regress/actions.sh"
  $ two_daemons

The same key at two daemons at once: one dispatch.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"delay","ms":1500}'
  $ act $d1_url $key >out1 & first=$!
  $ act $d2_url $key >out2; wait $first
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

A replayed key gets the stored outcome, at both daemons.

  $ act $d1_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ act $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 1

The answer of the claiming write is lost after it took effect.

  $ key=$(new_key); lost=$(kv_stat lost)
  $ kv_fault '{"fault":"lose","count":1}'
  $ act $d1_url $key
  201
  "state":"done"
  $ echo $(($(kv_stat lost) - lost)) answer lost
  1 answer lost
  $ effects $key
  1 of 2
  $ act $d2_url $key; effects $key
  201
  "state":"done"
  Idempotent-Replayed
  1 of 2

The backend server cuts the connection before the effect: in doubt, and a
repeat doesn't dispatch.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_before"}'
  $ act $d1_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ act $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 2

It cuts after the effect: the status read says done.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_after"}'
  $ act $d1_url $key
  200
  "run":"done"
  "state":"done"
  $ act $d2_url $key
  200
  "run":"done"
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 3

Without a status read, it stays in doubt.

  $ key=$(new_key)
  $ fault $b1_url '{"fault":"cut_after"}'
  $ act $d1_url $key blind
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ act $d2_url $key blind
  409
  "code":"in_doubt"
  "run":"in_doubt"
  Retry-After
  $ effects $key
  1 of 4

Two faults at once: a lost answer of the claim, and a cut after the effect or
before it.

  $ key=$(new_key); lost=$(kv_stat lost)
  $ kv_fault '{"fault":"lose","count":1}'
  $ fault $b1_url '{"fault":"cut_after"}'
  $ act $d1_url $key
  200
  "run":"done"
  "state":"done"
  $ act $d2_url $key
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
  $ act $d1_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ act $d2_url $key
  409
  "code":"in_doubt"
  "run":"in_doubt"
  "state":"unknown"
  Retry-After
  $ effects $key
  0 of 5

A key older than 24 h is never dispatched, nor is one ahead of the clock.

  $ key=$(new_key 86410000); act $d1_url $key; effects $key
  409
  "code":"key_expired"
  "run":"in_doubt"
  0 of 5
  $ key=$(new_key -400000); act $d1_url $key; effects $key
  400
  "code":"key_in_future"
  "run":"not_run"
  0 of 5

The key-value service is down: not run, nothing reaches the backend server.
Once it is back, the same key is free.

  $ key=$(new_key)
  $ kv_fault '{"fault":"outage","ms":60000}'
  $ act $d1_url $key
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ kv_fault '{"fault":"outage","ms":60000,"cut":true}'
  $ act $d2_url $key
  503
  "code":"claims_unavailable"
  "run":"not_run"
  Retry-After
  $ effects $key
  0 of 5
  $ kv_fault '{"fault":"clear"}'
  $ act $d1_url $key
  201
  "state":"done"
  $ act $d2_url $key
  201
  "state":"done"
  Idempotent-Replayed
  $ effects $key
  1 of 6
