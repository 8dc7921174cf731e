Guards against an answer that looks whole though its server, or the daemon that it was
passed on to, stopped in the middle of its head.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ BODY_BYTES=3000000 put_config
  $ for n in 1 2 3; do start_server app$n app a; start_server llm$n llm a engine; done
  $ SERVERS="app1 app2 app3 llm1 llm2 llm3"
  $ cuts() { "$TOP/regress/head_cuts.py" $CALLER_ADDR "$@"; }
  $ reached() { for s in $SERVERS; do field $s requests; done | awk '{ n += $1 } END { print n }'; }
  $ BUDGET=',"repeat_ratio":10,"repeat_slack":1000'
  $ start_routed d0 "$BUDGET"

all: lookups, bookings, streams, HEAD, and a body of which most is on its way.

  $ all() { cuts look GET; cuts look HEAD; cuts book POST; cuts draft GET; cuts look POST 2000000; cuts book POST 2000000; }
  $ all; echo $(($(reached) >= 477))
  81 of 81
  72 of 72
  81 of 81
  81 of 81
  81 of 81
  81 of 81
  1

Through another daemon: the servers of that one stop in their heads.

  $ kill_9 $d0_pid; for n in 1 2; do start_forwarding $n a "$BUDGET"; done; await knows_daemons 2
  $ CALLER_ADDR=$d1_caller; partition reset "$SERVERS" 11
  $ for i in 1 2 3 4 5 6; do status /look/ok; status /draft/ok; done >find.out; sleep 0.5
  $ passed_on() { curl -s "http://$d1_control/metrics" | awk '/^goldcrest_routed_passed_on_total/ { print $2 }'; }
  $ all; echo $(($(passed_on) >= 238))
  81 of 81
  72 of 72
  81 of 81
  81 of 81
  81 of 81
  81 of 81
  1

The other daemon itself does.

  $ cat >daemon.py <<'END'
  > import asyncio, os, sys
  > sys.path.insert(0, os.environ["TOP"] + "/standins/routed")
  > import heads, wire
  > async def handle(request, reader, writer):
  >     print("got", flush=True)
  >     names = {"Goldcrestfield-Request-Id": request.headers["goldcrestfield-request-id"],
  >              "Goldcrestfield-Response-Seal": "seal", "Content-Type": "text/event-stream",
  >              "Goldcrest-Hop-Version": "v1", "Goldcrest-Hop-Result": "done"}
  >     name = request.path.rsplit("/", 1)[1].removeprefix("head-")
  >     if name == "ok":
  >         writer.write(wire.response(200, b"id: 1\n\n", names))
  >         return True
  >     return await heads.write_head(writer, name, names)
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
  $ all; echo $(($(grep -c got daemon.log) >= 477))
  81 of 81
  72 of 72
  81 of 81
  81 of 81
  81 of 81
  81 of 81
  1

The daemon is killed while it writes an answer: an HTTP/1.0 caller sees a reset, as it
has neither a length nor chunks; others miss the end.

  $ cat >killed.py <<'END'
  > import os, signal, socket, sys, time
  > sys.path.insert(0, os.environ["TOP"] + "/regress")
  > from head_cuts import looks_whole, receive
  > host, port = sys.argv[1].split(":")
  > s = socket.create_connection((host, int(port)), 10)
  > s.sendall(f"GET /draft/slow HTTP/{sys.argv[3]}\r\nHost: h.example\r\nAuthorization: Token key-1\r\n"
  >           f"Goldcrestfield-Request-Id: k{time.time()}\r\n\r\n".encode())
  > time.sleep(0.5)
  > os.kill(int(sys.argv[2]), signal.SIGKILL)
  > data, orderly = receive(s)
  > print(data.count(b"id:") > 0, looks_whole(data, orderly, "GET"))
  > END
  $ reconnect "$SERVERS"
  $ for version in 1.0 1.1; do start_routed k; python3 killed.py $CALLER_ADDR $k_pid $version; wait $k_pid 2>/dev/null; done 2>/dev/null; true
  True False
  True False

One that ends, with most of it not sent yet, is whole.

  $ start_routed k; send_request /draft/big --http1.0 --limit-rate 8M >big.out; echo $? $(grep -c 'id:' big.out)
  0 200

Events that wait for the record of their version, and then such heads of the next
servers: with a store that never takes the record, and one that takes it late.

  $ start_routed d4 "$BUDGET"; LATE=$CALLER_ADDR; start_routed d5 "$BUDGET"
  $ engines() { for n in 1 2 3; do operator "{\"key\":\"servers/$1$n\",\"remove\":true}"; start_server $2$n llm a engine $2; done; sleep 0.5; }
  $ held() { echo $(($(grep -c 'invalid character in chunk size' $1) >= 8)) $(($(grep -c '"reason":"the server closed\|"reason":"Connection reset' $1) >= 8)); }
  $ engines llm v2; store_fault '{"mode":"busy"}'; cuts draft GET 0 badever-head-; held d5.log
  81 of 81
  1 1
  $ store_fault '{"mode":"ok"}'; sleep 1; engines v2 v3; CALLER_ADDR=$LATE; store_fault '{"mode":"busy"}'
  $ (sleep 0.6; store_fault '{"mode":"ok"}') & cuts draft GET 0 badever-head-; wait $!; held d4.log
  81 of 81
  1 1
