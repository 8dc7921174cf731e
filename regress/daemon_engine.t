Guards against missing or repeated tokens, tokens of another run, and incomplete
responses, when an engine misbehaves or dies in the middle of a response.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_engine e2
  $ start_daemon d1
  $ fault_both() { fault $e1_url "$1"; fault $e2_url "$1"; }
  $ clear_faults() { fault_both '{"fault":"clear"}'; }
  $ stream_and_check() { stream $d1_url ${1:-20} >out; chain out; tail -n 2 out | head -n 1; }

An engine sends garbage, repeats a token, skips a token or sends a token of
another run. The fault is set on both engines for one run each, so that at least
one attempt is affected.

  $ for kind in garbage repeat gap foreign; do
  >   fault_both "{\"fault\":\"$kind\",\"after\":5}"
  >   stream_and_check
  >   clear_faults
  > done
  whole 20
  data: [DONE]
  whole 20
  data: [DONE]
  whole 20
  data: [DONE]
  whole 20
  data: [DONE]

The engine cuts the connection; its run continues, or is lost as well.

  $ fault_both '{"fault":"cut","after":5}'; stream_and_check; clear_faults
  whole 20
  data: [DONE]
  $ fault_both '{"fault":"cut","after":5,"lose_run":true}'; stream_and_check; clear_faults
  whole 20
  data: [DONE]

The log has the failed attempts under the id in the response, so that an
operator can look up the failures of one response.

  $ id=$(sed -n 's/.*"id":"cmpl-\([0-9a-f]*\)".*/\1/p' out | head -n 1)
  $ grep 'engine attempt failed' d1.log | grep "request=$id" | grep -c 'account=quick'
  [1-9][0-9]* (re)

An engine refuses the run.

  $ fault_both '{"fault":"refuse","count":1}'; stream_and_check; clear_faults
  whole 20
  data: [DONE]

The engine that serves the response is killed; the other one continues it.

  $ engine_in_use() { tokens out | sed -n 's/^[^:]*:\(e[0-9]\)-.*/\1/p' | tail -n 1; }
  $ stream_started() { test "$(tokens out | wc -l)" -gt 5; }
  $ rm -f out; stream $d1_url 100 >out &
  $ caller=$!; await stream_started; engine=$(engine_in_use); eval "kill_9 \$${engine}_pid"
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 100
  data: [DONE]
  $ tokens out | sed 's/^[^:]*:\([^:]*\):.*/\1/' | uniq | wc -l
  2

The only remaining engine freezes for 1 s, then continues.

  $ rm -f out; stream $d1_url 100 >out &
  $ caller=$!; await stream_started; engine=$(engine_in_use); eval "pid=\$${engine}_pid"
  $ kill -STOP $pid; sleep 1; kill -CONT $pid
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 100
  data: [DONE]

The remaining engine loses the run and refuses new ones for 2.5 s: the response
continues after that.

  $ fault_remaining() { eval "fault \$${remaining}_url '$1'"; }
  $ remaining=$engine; fault_remaining '{"fault":"cut","after":30,"lose_run":true}'
  $ rm -f out; stream $d1_url 60 >out &
  $ caller=$!; await stream_started; fault_remaining '{"fault":"refuse","count":1000}'
  $ sleep 2.5; fault_remaining '{"fault":"clear"}'
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 60
  data: [DONE]
