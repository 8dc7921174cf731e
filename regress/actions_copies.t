Guards against a backend server's second copy of an answer that reaches the next
caller, whose request is on the same connection.

  $ . "$TOP/regress/actions.sh"
  $ start_action_platform
  $ start_engine e1
  $ python3 "$TOP/regress/late_copy.py" copy.ports & pids="$pids $!"
  $ await test -s copy.ports
  $ curl -s -X PUT "$PLATFORM/v1/agent/service/register" -d "{\"ID\":\"b1\",\"Name\":\"service\",\"Address\":\"127.0.0.1\",\"Port\":$(port_in copy.ports),\"Meta\":{\"failure_domain\":\"a\"}}"
  $ start_daemon d1
  $ await reads_service $d1_url
  $ get() { curl -s -H 'Authorization: Bearer quick-key' $d1_url/v1/services/pickup$1; }
  $ post() { curl -s -X POST -H 'Authorization: Bearer quick-key' -H "Idempotency-Key: $(new_key)" $d1_url/v1/services/nostatus$1; }
  $ for i in 1 2 3; do get /first-$i; post /action-$i; get /second-$i; done
  total for /first-1
  total for /action-1
  total for /second-1
  total for /first-2
  total for /action-2
  total for /second-2
  total for /first-3
  total for /action-3
  total for /second-3
