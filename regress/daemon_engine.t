Guards against tokens that are missing, repeated or mixed when an engine
misbehaves or dies in the middle of an answer, and against answers that stop.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_engine e2
  $ start_daemon d1
  $ both() { fault $e1_url "$1"; fault $e2_url "$1"; }
  $ clear_faults() { both '{"fault":"clear"}'; }
  $ whole() { stream $d1_url ${1:-20} >out; chain out; tail -n 2 out | head -n 1; }

An engine that sends garbage, a token twice, a token after a gap, a token of
another run. The fault is set at both engines, for one run each, so at least
one attempt meets it.

  $ for kind in garbage repeat gap foreign; do
  >   both "{\"fault\":\"$kind\",\"after\":5}"
  >   whole
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

A connection that is cut: the run goes on, or it is lost as well.

  $ both '{"fault":"cut","after":5}'; whole; clear_faults
  whole 20
  data: [DONE]
  $ both '{"fault":"cut","after":5,"lose_run":true}'; whole; clear_faults
  whole 20
  data: [DONE]

The log tells which answers met these faults: an operator who gets a complaint
about one answer finds its attempts by the id in it.

  $ id=$(sed -n 's/.*"id":"cmpl-\([0-9a-f]*\)".*/\1/p' out | head -n 1)
  $ grep 'attempt broke' d1.log | grep "request=$id" | grep -c 'account=quick'
  [1-9][0-9]* (re)

An engine that refuses.

  $ both '{"fault":"refuse","count":1}'; whole; clear_faults
  whole 20
  data: [DONE]

The engine of the answer is killed; the other one goes on.

  $ in_use() { tokens out | sed -n 's/^[^:]*:\(e[0-9]\)-.*/\1/p' | tail -n 1; }
  $ started() { test "$(tokens out | wc -l)" -gt 5; }
  $ rm -f out; stream $d1_url 100 >out &
  $ caller=$!; await started; engine=$(in_use); eval "kill_9 \$${engine}_pid"
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 100
  data: [DONE]
  $ tokens out | sed 's/^[^:]*:\([^:]*\):.*/\1/' | uniq | wc -l
  2

The only engine that is left freezes for a second, then goes on.

  $ rm -f out; stream $d1_url 100 >out &
  $ caller=$!; await started; engine=$(in_use); eval "pid=\$${engine}_pid"
  $ kill -STOP $pid; sleep 1; kill -CONT $pid
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 100
  data: [DONE]

It loses the run and refuses new ones for two seconds: the answer waits.

  $ fault_left() { eval "fault \$${left}_url '$1'"; }
  $ left=$engine; fault_left '{"fault":"cut","after":30,"lose_run":true}'
  $ rm -f out; stream $d1_url 60 >out &
  $ caller=$!; await started; fault_left '{"fault":"refuse","count":1000}'
  $ sleep 2.5; fault_left '{"fault":"clear"}'
  $ wait $caller; chain out; tail -n 2 out | head -n 1
  whole 60
  data: [DONE]
