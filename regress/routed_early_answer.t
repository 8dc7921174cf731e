Guards against parts of answers that look complete: a server, or another daemon, answers a
long upload without a length before it has read it, and breaks off. Where it had read all
that had arrived, its orderly close comes before the reset.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ export PYTHONDONTWRITEBYTECODE=1
  $ start_store
  $ BODY_BYTES=3000000 put_config
  $ start_server app1 app a; start_server app2 app a
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ start_forwarding 1; CALLER_ADDR1=$CALLER_ADDR; start_forwarding 2; CALLER_ADDR=$CALLER_ADDR1
  $ await knows_daemons 2
  $ early() { for route in book look draft; do python3 "$TOP/regress/early_answers.py" "$CALLER_ADDR" $route 1500000 "$1"; done; }
  $ head -c 1500000 /dev/zero >body; UPLOAD="--data-binary @body -H Expect:"
  $ ids() { grep -ao 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }

A server that has read the whole request may end its answer with the connection.

  $ status /book/unframed $UPLOAD; status /look/unframed $UPLOAD
  200
  200
  $ send_request /draft/plain $UPLOAD | ids
  id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 

No part is a success, whether the request may run again or not, nor the end of a stream.

  $ early early-
  12 of 12
  12 of 12
  12 of 12

Requests that may run again do so elsewhere.

  $ status "/look/once-early-end?unread" $UPLOAD
  200

The same where another daemon runs the requests.

  $ partition reset "app1 app2 llm1 llm2" 11
  $ for i in 1 2 3 4; do status /look/ok; status /draft/ok; done >find.out; sleep 0.5
  $ status /book/unframed $UPLOAD; status /look/unframed $UPLOAD
  200
  200
  $ early early-
  12 of 12
  12 of 12
  12 of 12
  $ grep -c '"event":1133' d2.log >/dev/null && echo passed on
  passed on

The other daemon itself breaks off.

  $ cat >daemon.py <<'END'
  > import asyncio, os, sys
  > sys.path.insert(0, os.environ["TOP"] + "/standins/routed")
  > import bad_responses, wire
  > async def handle(request, reader, writer):
  >     if "goldcrestfield-request-id" not in request.headers:
  >         writer.write(wire.response(404))
  >         return True
  >     name = request.path.rsplit("/", 1)[1].removeprefix("early-")
  >     print(name, flush=True)
  >     return await bad_responses.write_early(writer, name, {
  >         "Goldcrestfield-Request-Id": request.headers["goldcrestfield-request-id"],
  >         "Goldcrestfield-Response-Seal": "seal", "Content-Type": "text/event-stream",
  >         "Goldcrest-Hop-Version": "v1", "Goldcrest-Hop-Result": "done"})
  > async def main():
  >     await wire.listen(handle, "daemon.port")
  >     await asyncio.sleep(3600)
  > asyncio.run(main())
  > END
  $ python3 daemon.py >daemon.log & pids="$pids $!"
  $ await test -s daemon.port; kill -TERM $d2_pid; wait $d2_pid
  $ operator "{\"key\":\"goldcrest/daemons/d7\",\"value\":{\"address\":\"127.0.0.1:9\",\"failure_domain\":\"a\",\"forward\":\"127.0.0.1:$(cat daemon.port)\"}}"; sleep 1
  $ early early-
  12 of 12
  12 of 12
  12 of 12
  $ sort -u daemon.log | wc -l
  12
