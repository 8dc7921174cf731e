Guards against lost tokens, and tokens of another response, when a daemon dies
or shuts down and the caller resumes at another one.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_daemon d1
  $ start_daemon d2 ',"stop_grace_s":1'
  $ started() { test "$(tokens out1 | wc -l)" -gt 10; }
  $ resume() {
  >   curl -sN -H 'Authorization: Bearer quick-key' -H "Last-Event-ID: $1" \
  >     $d2_url/v1/completions
  > }

A daemon is killed; the caller resumes at the other one with its last event id,
by GET and by POST.

  $ rm -f out1; stream $d1_url 100 >out1 &
  $ caller=$!; await started; kill_9 $d1_pid; wait $caller
  [18]
  $ resume "$(last_id out1)" >out2
  $ chain out1 out2; tail -n 2 out2 | head -n 1
  whole 100
  data: [DONE]
  $ stream $d2_url 100 -H "Last-Event-ID: $(last_id out1)" >out2
  $ chain out1 out2
  whole 100

The engine with the run is killed as well: only the caller has the tokens, and
sends them as the prefix.

  $ id=$(last_id out1)
  $ kill_9 $e1_pid
  $ start_engine e2
  $ resume "$id" | grep -o '"code":"lost"'
  "code":"lost"
  $ prefix=$(tokens out1 | sed 's/.*/"&"/' | paste -sd ,)
  $ post() {
  >   curl -sN -H 'Authorization: Bearer quick-key' -H "Last-Event-ID: $id" \
  >     $d2_url/v1/completions -d "{\"model\":\"draft\",\"prompt\":\"$PROMPT\",
  >     \"max_tokens\":100,\"stream\":true,\"goldcrest\":{\"prefix\":[$prefix]}}"
  > }
  $ post >out2; chain out1 out2
  whole 100

A prefix that differs from the delivered tokens is refused.

  $ prefix="$prefix,\"other\""; post | grep -o '"code":"lost"'
  "code":"lost"

A planned shutdown: new requests are refused, a stream that ends within the
grace period is complete, and a longer one is aborted and can be resumed.

  $ start_daemon d3 ",\"seed_peers\":[\"$(peer_of $d2_ops)\"]"
  $ knows_d3() { curl -s $d2_url/v1/addresses | grep -q '"instance":"d3"'; }
  $ await knows_d3
  $ rm -f out1; stream $d2_url 30 >out1 &
  $ short=$!
  $ rm -f out3; stream $d2_url 200 >out3 &
  $ long=$!
  $ await started; kill -TERM $d2_pid; sleep 0.3
  $ call $d2_url '{"model":"draft","prompt":"p"}' -w '%{http_code}' |
  >   grep -o '"run":"not_run"\|"address":"http\|503'
  "run":"not_run"
  "address":"http
  503
  $ wait $short; chain out1
  whole 30
  $ wait $long
  [18]
  $ wait $d2_pid; echo status $?
  status 0
  $ d2_url=$d3_url; resume "$(last_id out3)" >out4; chain out3 out4
  whole 200
