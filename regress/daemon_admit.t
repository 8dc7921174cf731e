Guards against requests that are refused as not_run although an engine ran
them, and against queued callers that never get a response.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --slots 1
  $ start_daemon d1 ',"queue_ms":300'

One slot: the second request is queued, then refused with Retry-After, and
doesn't reach the engine.

  $ runs=$(stat $e1_url runs)
  $ rm -f out; stream $d1_url 100 >out &
  $ caller=$!; await test -s out
  $ call $d1_url '{"model":"draft","prompt":"p"}' -i | tr -d '\r' >refused
  $ grep '^HTTP' refused
  HTTP/1.1 429 Too Many Requests
  $ grep -o '^Retry-After\|"code":"[a-z]*"\|"run":"[a-z_]*"\|"retry_after_s"' refused
  Retry-After
  "code":"overloaded"
  "run":"not_run"
  "retry_after_s"
  $ wait $caller; chain out
  whole 100
  $ echo $(($(stat $e1_url runs) - runs))
  1

A request that waits for less than queue_ms is admitted.

  $ rm -f out; stream $d1_url 10 >out &
  $ caller=$!; await test -s out; stream $d1_url 10 >out2; wait $caller
  $ chain out; chain out2
  whole 10
  whole 10

A caller with a queued request disconnects: the request leaves the queue and is
not run.

  $ runs=$(stat $e1_url runs)
  $ rm -f out; stream $d1_url 40 >out &
  $ caller=$!; await test -s out
  $ stream $d1_url 10 -m 0.1 >out2
  [28]
  $ wait $caller; sleep 0.7; echo $(($(stat $e1_url runs) - runs))
  1

The only engine is deregistered: requests are refused as not_run.

  $ curl -s -X PUT $PLATFORM/v1/agent/service/deregister/e1
  $ refused_not_run() { call $d1_url '{"model":"draft","prompt":"p","max_tokens":1}' | grep -q '"run":"not_run"'; }
  $ await refused_not_run
