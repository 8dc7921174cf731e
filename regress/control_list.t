Guards against repeated polls of an unchanged instance list, which cost more
bytes than all other control traffic, and against changes that are noticed late,
with and without support for blocking queries in the platform.

  $ . "$TOP/regress/control.sh"
  $ list_calls() { curl -s $PLATFORM/stats | grep -o '"list":[0-9]*' | cut -d: -f2; }
  $ leaving() { ctl $d1_ops status | grep -q "^instance $1 .*leaving"; }
  $ listed() { ctl $d1_ops status | grep -q "^instance $1 "; }
  $ meta() {
  >   curl -s -X PUT $PLATFORM/v1/agent/service/register -d "{\"ID\":\"$1\",
  >     \"Name\":\"engine\",\"Address\":\"127.0.0.1\",\"Port\":${2##*:},
  >     \"Meta\":{\"failure_domain\":\"a\",\"kind\":\"engine\"$3}}"
  > }
  $ start_platform
  $ start_engine e1; start_engine e2
  $ start_daemon d1
  $ await listed e1; await listed e2; sleep 1

An unchanged list costs no calls while a blocking query is pending.

  $ before=$(list_calls); sleep 2; echo $(($(list_calls) - before))
  0

A change is noticed at once; a deregistered instance is removed.

  $ meta e1 $e1_url ',"state":"leaving"'
  $ await leaving e1
  $ curl -s -X PUT $PLATFORM/v1/agent/service/deregister/e1
  $ await eval '! listed e1'
  $ listed e2; echo $?
  0

An instance that was leaving and returns is used again, although the list does
not change any more.

  $ meta e2 $e2_url ',"state":"leaving"'
  $ await leaving e2
  $ meta e2 $e2_url
  $ sleep 8; leaving e2; echo $?
  1

Without blocking queries the list is polled, at a multiple of list_poll_ms.

  $ fault '{"fault":"list_no_blocking"}'
  $ before=$(list_calls); sleep 2; calls=$(($(list_calls) - before))
  $ [ $calls -ge 9 ] && [ $calls -le 24 ] || echo "$calls calls"
  $ meta e2 $e2_url ',"state":"leaving"'
  $ await leaving e2
  $ fault '{"fault":"clear"}'; sleep 1
  $ before=$(list_calls); sleep 2; echo $(($(list_calls) - before))
  0
