Guards against answers whose status is none (000, 600, four digits, a switch of the
protocol that nobody asked for) which are given to callers, or read over and waited for,
and answers without a body that are waited for the body's length.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ SERVERS="app1 app2 app3 llm1 llm2 llm3"
  $ for n in 1 2 3; do start_server app$n app a; start_server llm$n llm a engine; done
  $ BUDGET=',"repeat_ratio":10,"repeat_slack":1000'
  $ calls() { "$TOP/regress/status_calls.py" $CALLER_ADDR "$@"; }
  $ ran_again() { sort runs.log | grep "^$1-" | uniq -d | wc -l; }
  $ start_routed d0 "$BUDGET"

A daemon that got no answer from its servers lately takes itself for cut off from them,
so that some requests succeed between. A booking may have run: it is neither repeated
nor said not to be run. A lookup and a stream go on at the next server at once, also in
the midst of the stream.

  $ find_servers() { for i in 1 2 3 4 5 6; do status /look/ok; status /draft/ok; done >find.out; sleep 0.5; }
  $ all() { calls book POST; find_servers; calls look GET once-status-; calls look HEAD once-status-; calls draft GET once-status- kept next; calls draft GET badthen-status- kept next; ran_again book; }
  $ all
  502: 40
  200: 40
  200: 40
  200: 16
  200: 16
  0

Those that never have a body end with their head, and the next answers are whole.

  $ for answer in 304 204 103; do send_request /look/status-$answer-length -o $answer.out -w '%{http_code} %{time_total}\n' | awk '{ print $1, ($2 < 0.5) }'; done; cat 103.out
  304 1
  204 1
  200 1
  id: 1
  
  $ for n in 1 2 3 4 5 6; do status /look/ok; done | uniq -c | tr -s ' '
   6 200

Through another daemon.

  $ kill_9 $d0_pid; for n in 1 2; do start_forwarding $n a "$BUDGET"; done; await knows_daemons 2
  $ CALLER_ADDR=$d1_caller; partition reset "$SERVERS" 11
  $ find_servers
  $ passed_on() { curl -s "http://$d1_control/metrics" | awk '/^goldcrest_routed_passed_on_total/ { print $2 }'; }
  $ all; echo $(($(passed_on) >= 152))
  502: 40
  200: 40
  200: 40
  200: 16
  200: 16
  0
  1

The other daemon itself answers so; nobody else can take the request.

  $ cat >daemon.py <<'END'
  > import asyncio, os, sys
  > sys.path.insert(0, os.environ["TOP"] + "/standins/routed")
  > import statuses, wire
  > async def handle(request, reader, writer):
  >     print("got", request.path.split("/")[1], flush=True)
  >     names = {"Goldcrestfield-Request-Id": request.headers["goldcrestfield-request-id"],
  >              "Goldcrestfield-Response-Seal": "seal", "Content-Type": "text/event-stream",
  >              "Goldcrest-Hop-Version": "v1", "Goldcrest-Hop-Result": "done"}
  >     name = request.path.rsplit("/", 1)[1]
  >     if name == "ok":
  >         writer.write(wire.response(200, b"id: 1\n\n", names))
  >         return True
  >     return await statuses.write_status(writer, name.removeprefix("status-"), names)
  > async def main():
  >     await wire.listen(handle, "daemon.port")
  >     await asyncio.sleep(3600)
  > asyncio.run(main())
  > END
  $ PYTHONDONTWRITEBYTECODE=1 python3 daemon.py >daemon.log & pids="$pids $!"
  $ await test -s daemon.port; kill -TERM $d2_pid; wait $d2_pid
  $ operator "{\"key\":\"goldcrest/daemons/d7\",\"value\":{\"address\":\"127.0.0.1:9\",\"failure_domain\":\"a\",\"forward\":\"127.0.0.1:$(cat daemon.port)\"}}"; sleep 1
  $ status /look/ok; status /draft/ok
  200
  200
  $ calls book POST; grep -c 'got book' daemon.log
  502: 40
  40
  $ calls look GET; calls draft GET
  502: 40
  502: 40
