Guards against claim records that are never deleted, or are deleted while their
keys can still be used, and against every daemon listing the records.

  $ . "$TOP/regress/actions.sh"
  $ test $(($(date +%s) % 3600)) -lt 3560 || sleep 41  # stay in one hour
  $ start_action_platform
  $ start_engine e1
  $ start_backend b1
  $ start_daemon d1 ',"claim_sweep_s":1'
  $ start_daemon d2 ",\"claim_sweep_s\":1,\"seed_peers\":[\"$(peer_of $d1_ops)\"]"
  $ await reads_service $d1_url
  $ hour=$(($(date +%s) / 3600))
  $ put() { curl -s -o /dev/null -X PUT "$PLATFORM/v1/kv/$1?cas=0" -d '{}'; }
  $ records() { curl -s "$PLATFORM/v1/kv/claims/?keys" | grep -o '"claims/[^"]*"'; }

Records of up to 25 hours ago are kept, and so are entries whose names aren't
those of claim records. The first deletions fail in an outage of the key-value
service (log event 1204) and are repeated after it.

  $ put claims/$((hour - 25))/3; put claims/$hour/5; put claims/old/5
  $ put claims/$((hour - 26))/64; put claims-other
  $ kv_fault '{"fault":"outage","ms":60000}'
  $ await grep -q 'warning 1204' d1.log d2.log
  $ kv_fault '{"fault":"clear"}'
  $ put claims/$((hour - 26))/3; put claims/$((hour - 400))/63
  $ expired_deleted() { ! records | grep -q "/$((hour - 26))/3\"\|/63\""; }
  $ await expired_deleted
  $ key=$(new_key); send_action $d1_url $key
  201
  "state":"done"
  $ sleep 2; send_action $d1_url $key; effects $key
  201
  "state":"done"
  Idempotent-Replayed
  1 of 1
  $ records | grep -c "$((hour - 25))/3\"\|$hour/5\"\|old/5\"\|/64\""
  4
  $ curl -s "$PLATFORM/v1/kv/claims-other" | grep -c Key
  1

A key whose record was deleted isn't dispatched.

  $ old=$(new_key $((26 * 3600000 + 60000))); send_action $d1_url $old; effects $old
  409
  "code":"key_expired"
  "run":"in_doubt"
  0 of 1

Within an hour only one daemon deletes records.

  $ deleted() { curl -s -H "Authorization: Bearer $OPERATOR_KEY" $1/metrics |
  >   sed -n 's/^goldcrest_claim_records_deleted_total //p'; }
  $ (deleted $d1_ops; deleted $d2_ops) | sort -n
  0
  2
