#!/usr/bin/env python3
"""Stand-in for a backend server that speaks the platform's protocol.

usage: standin_server.py PORTS_FILE ID SERVICE ZONE STORE_URL [engine [VERSION]]

The server registers itself in the store. The last component of a request's path
selects the behaviour:
  ok           responds with a description of the request
  fail         responds with status 500
  busy         as shed, with the Retry-After that POST /busy sets
  shed         responds with status 503 without executing the request
  shedlate     as shed; sends a second copy before the response to the next
               request on the connection
  cut          closes the connection without a response
  short        sends a response truncated by 5 bytes
  wrong        sends a response without a request id and a MAC
  late         sends a response to another request before the right one
  extra        sends the response twice
  unframed     sends a response without a length
  unframed409, unframed500  the same with that status
  unframedstop does so, and stops its process (SIGSTOP)
  unframedsilent does so, and is silent for 1.2 s (POST /silence)
  unframeddie  sends a part of one, closes the connection and crashes
  unframeddie409, unframeddie500  the same with that status
  unframeddark does so, but its address takes connections and answers nothing
               for 1.2 s; then it starts again, and registers 0.5 s later
  slow         responds after 400 ms
  copylate     responds; sends a second copy before the response to the next
               request on the connection
  copyidle     responds; sends a second copy 50 ms later
  bare         sends a success without a request id, with a MAC
  bareshed     sends a 503 "not executed" without a request id and executes
               the request
  cut*         the responses that break off, in bad_responses.py
  endless*     the responses that don't end, in bad_responses.py
  trickle      sends a byte of the body each 100 ms
  hang         does not respond
  mostly       responds after 650 ms
  mostshed, mostbare, mostfail, mostcrash  as shed, bare, fail after 650 ms, or
               crashes then
  bulky        sends the half of a body of 200 kB, and the rest after 350 ms
  bulkycut     sends that half and closes the connection after 100 ms
  long         responds after 2.5 s
  pause        sends nothing for a second (engines: after the third
               event that it sends), then the rest
  once-NAME    behaves as NAME on the first server that gets the request, and
               as "ok" on others
  turns-NAME-...  behaves as the n-th NAME, or the last one, on the n-th server
               that gets the request
  then-NAME    (engines) behaves as "die" on the first server that gets the
               request, as NAME on the second one, and as "ok" on others
  ever-NAME    the same, but as NAME on all others
  badthen-NAME, badever-NAME  the same, but as "burstbad" on the first server
  head-NAME    sends a part of a head, see heads.py; the same after badever-. With
               "unread" in the query, the request's body is not read
  early-NAME   sends a part of an answer before it has read the request's body and
               resets the connection, see bad_responses.py; with "unread" in the
               query
  status-NAME  answers with a status that is none, see statuses.py; also after once-
               and badthen-
  halves_NAME  sends an answer in two halves, see halves.py; after turns-, with _ for -
  answer-NAME  (engines) the answers that aren't the rest of a stream, in
               bad_responses.py; after then- or ever-, without "answer-"
These apply to engines:
  die          closes the connection during the fourth event
  mute         sends nothing after the third event
  trickle      sends a byte each 100 ms after the third event, but no event
  comments     sends a comment each 100 ms after the third event, but no event
  steady       sends an event each 300 ms with a comment before it
  endlessevent sends an event without an end after the third one
  wait         sends its first event after 3.5 s and reports a queue until then
  lost         sends no event and reports no queue
  cutend       closes the connection after the last event, without the end of
               the body
  big          sends 200 events of 60 kB without a pause
  slow         sends an event each 150 ms
  many         sends 30 events, one each 150 ms
  burst        sends the head, and the whole body at once
  burstbad     sends the head, and three events and bytes that are no chunk at
               once
A server that crashes aborts all connections, adds its id to crashes.log and
starts again after 2 s with a new start time. A request whose path ends in
"crash" or whose body begins with "crash" crashes it 50 ms after it began to run
it. A stream whose prompt shares a part with the id "dead" or "deadN" crashes an
engine after 400 ms, when it has sent the head, and one with the id "late" or
"lateN" at the fourth event.
  plain        sends a body with neither a length nor chunks, closes at its end
  plaincut     does so, but closes inside the fourth event
  empty        does so, but closes after the head
  plaindie     does so, but closes after the third event and crashes
  plainslowdie as plaindie, with an event each 150 ms
  plaindark    as plaindie, but as unframeddark after that
  resetall     sends the head, resets the connection, and the others 3 ms later
POST /drop closes the other connections.
POST /silence {"ms"} makes it silent for that time, 0 for good: it sends nothing,
and what arrives meanwhile is lost and not acknowledged (silent_link.py).
POST /stall {"pid"} stops that process (SIGSTOP) 10 ms after the next load
query, answers the query after 100 ms and resumes the process 100 ms later.
POST /memory {"used"} sets the tokens in use that the server reports, of 1000.
POST /report {"status", "body"} sets what it answers to load queries; without members
it reports its load again.
POST /busy {"retry_after", "queries"} sets the Retry-After (text) of the
behaviour "busy". With "queries", load queries are refused likewise.
POST /cut {"sources", "how"} partitions it from clients with these addresses, see
cut.py; without members the partition ends.
POST /headers {NAME: VALUE} sets the headers that all responses get.
POST /slots, POST /brittle and POST /fall: see brittle.py. POST /bad: see
bad_version.py.
SIGUSR1 and SIGUSR2 write its entry again, as draining or ready.
GET /stats returns the number of requests of callers ("requests") and of others
("queries") that arrived, the times at which any of them did ("arrivals", in s of
the monotonic clock), the ids of executed requests ("runs"), the requests for
copies ("orders"), the event numbers at which clients disconnected
("abandoned") and headers of executed requests ("seen"), and with /slots the times of
falls ("falls"), of requests turned away ("turned_away") and of work ("work"). "bad"
has the times of bad answers (POST /bad), "begun" those at which requests began to
run.
"""

import asyncio
import json
import os
import re
import signal
import sys
import time
import urllib.request
import weakref

import bad_responses
import bad_version
import brittle
import cut
import halves
import heads
import silent_link
import statuses
import wire

EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.03
PAUSE_S = 1
LONG_S = 2.5
MOSTLY_S = 0.65
BULKY_BYTES = 200000
SILENCE_MS = 1200
STALL_S = 0.2
CRASH_AFTER_S = 0.4
CRASH_REQUEST_AFTER_S = 0.05
RESTART_S = 2
DARK_S = 1.2
REGISTER_DELAY_S = 0.5
RESET_OTHERS_S = 0.003
HEADER_PREFIX = "Goldcrestfield-"


class Server:
    def __init__(self, args):
        self.id, self.service, self.zone, self.store = args[1:5]
        self.engine = len(args) > 5 and args[5] == "engine"
        self.version = args[6] if len(args) > 6 else "v1"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.copy_requests = []
        self.abandoned = []
        self.seen = []
        self.retry_after = None
        self.refuse_queries = False
        self.n_requests = 0
        self.n_queries = 0
        self.arrivals = []
        self.late_copies = {}  # by connection
        self.endless_bytes = []
        self.queued = 0
        self.kv_used = 0
        self.stall_pid = None
        self.dark = False
        self.report = None
        self.ports_file = args[0]
        self.listener = None
        self.port = 0
        self.writers = weakref.WeakSet()
        self.cut = cut.Cut()
        self.slots = brittle.Slots()
        self.bad = bad_version.BadVersion(self.log_version)
        self.begun = []

    def register(self, port, state="ready"):
        value = {"service": self.service, "address": f"127.0.0.1:{port}",
                 "zone": self.zone, "slots": 4,
                 "state": state, "sequence": 1,
                 "born": self.born}
        if self.version != "none":
            value["version"] = self.version
        body = json.dumps({"key": f"servers/{self.id}", "value": value})
        urllib.request.urlopen(self.store + "/operator", body.encode())

    @staticmethod
    def request_id(request):
        return request.headers.get(HEADER_PREFIX.lower() + "request-id", "")

    def response_headers(self, request, **extra):
        headers = {
            HEADER_PREFIX + "Request-Id": self.request_id(request),
            HEADER_PREFIX + "Response-Seal": f"seal-{self.id}",
            "Keep-Alive": "timeout=5"}
        headers.update(extra)
        return headers

    def log_version(self, what):
        """Persists after exit, for checks of what each version got."""
        with open("versions.log", "a", encoding="ascii") as f:
            f.write(f"{time.monotonic():.3f} {what} {self.id} {self.service} "
                    f"{self.version}\n")

    def busy_headers(self):
        return {} if self.retry_after is None else {
            "Retry-After": self.retry_after}

    def echo_response(self, request):
        body = json.dumps({
            "server": self.id, "method": request.method,
            "target": request.target,
            "account": request.headers.get(HEADER_PREFIX.lower() + "tenant"),
            "key": request.headers.get("authorization"),
            "hold": request.headers.get(HEADER_PREFIX.lower() + "hold"),
            "body": request.body.decode("latin-1")}).encode() + b"\n"
        return wire.response(200, body, self.response_headers(request))

    @staticmethod
    def shares_part(request, name):
        prefix = request.headers.get(HEADER_PREFIX.lower() + "prompt-prefix",
                                     "")
        return any(re.match(name + r"\d*:", part.strip())
                   for part in prefix.split(",")[:-1])

    async def crash(self, writer):
        await writer.drain()
        with open("crashes.log", "a", encoding="ascii") as f:
            f.write(f"{self.id}\n")
        self.fall(RESTART_S)

    def fall(self, restart_s):
        self.listener.close()
        for other in self.writers:
            other.transport.abort()
        self.writers.clear()
        asyncio.get_running_loop().call_later(
            restart_s, lambda: asyncio.ensure_future(self.restart()))

    async def close_and_crash(self, writer):
        self.writers.discard(writer)
        await self.crash(writer)
        writer.close()

    async def close_and_go_dark(self, writer):
        await writer.drain()
        self.writers.discard(writer)
        writer.close()
        self.dark = True
        for other in self.writers:
            other.transport.abort()
        self.writers.clear()
        asyncio.get_running_loop().call_later(
            DARK_S, lambda: asyncio.ensure_future(self.end_dark()))

    async def end_dark(self):
        self.born = int(time.time() * 1000)
        self.dark = False
        await asyncio.sleep(REGISTER_DELAY_S)
        self.register(self.port)

    def be_silent(self, ms):
        silent_link.be_silent(
            [*self.listener.sockets, *(writer.get_extra_info("socket")
                                       for writer in self.writers)], ms)

    async def listen(self):
        self.listener, self.port = await wire.listen(
            self.handle, self.ports_file, self.port, self.cut.admit)
        self.cut.listener = self.listener

    async def restart(self):
        self.born = int(time.time() * 1000)
        await self.listen()
        self.register(self.port)

    async def handle(self, request, reader, writer):
        if self.dark:
            await reader.read()
            return False
        self.writers.add(writer)
        if request.path == "/drop":
            for other in list(self.writers):
                if other is not writer:
                    other.close()
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/silence":
            writer.write(wire.json_response(200, {}))
            asyncio.get_running_loop().call_later(
                silent_link.DELAY_S, self.be_silent, request.json()["ms"])
            return True
        if request.path == "/cut":
            command = request.json()
            self.cut.set(command.get("sources", []), command.get("how", ""))
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/busy":
            command = request.json()
            self.retry_after = command.get("retry_after")
            self.refuse_queries = command.get("queries", False)
            writer.write(wire.json_response(200, {}))
            return True
        if request.path in ("/slots", "/brittle"):
            self.slots.configure(request.path, request.json())
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/bad":
            self.bad.configure(request.json())
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/fall":
            writer.write(wire.json_response(200, {}))
            await writer.drain()
            self.fall(brittle.RESTART_S)
            return False
        if request.path == "/headers":
            wire.common_headers = {**request.json(), **self.slots.headers()}
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/stats":
            writer.write(wire.json_response(200, {
                **self.slots.stats(), "requests": self.n_requests, "queries": self.n_queries,
                "runs": self.runs, "orders": self.copy_requests, "arrivals": self.arrivals,
                "abandoned": self.abandoned, "seen": self.seen,
                "endless": self.endless_bytes, "queued": self.queued,
                "bad": self.bad.bad, "begun": self.begun}))
            return True
        if request.path == "/memory":
            self.kv_used = request.json()["used"]
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/report":
            command = request.json()
            self.report = (command["status"], command["body"].encode()) if command else None
            writer.write(wire.json_response(200, {}))
            return True
        if request.path == "/stall":
            self.stall_pid = request.json()["pid"]
            writer.write(wire.json_response(200, {}))
            return True
        self.arrivals.append(round(time.monotonic(), 3))
        if request.path.startswith(("/v1/report", "/v1/kv-")):
            self.n_queries += 1
        else:
            self.n_requests += 1
        if request.path == "/v1/report" and self.refuse_queries:
            writer.write(wire.response(503, b"", self.busy_headers()))
            return True
        if request.path == "/v1/report" and self.report:
            writer.write(wire.response(*self.report))
            return True
        if request.path == "/v1/report":
            pid, self.stall_pid = self.stall_pid, None
            if pid:
                # The daemon has connected to the other servers by then.
                await asyncio.sleep(0.01)
                os.kill(pid, signal.SIGSTOP)
                asyncio.get_running_loop().call_later(
                    STALL_S, os.kill, pid, signal.SIGCONT)
                await asyncio.sleep(STALL_S / 2)
            writer.write(wire.json_response(200, {
                "born": self.born, "running": 0, "queued": self.queued,
                "kv_used": self.kv_used, "kv_total": 1000}))
            return True
        if request.path == "/v1/kv-move":
            self.copy_requests.append(request.json())
            writer.write(wire.json_response(200, {"handle": "h1"}))
            return True
        target = request.headers.get(HEADER_PREFIX.lower() + "target-instance")
        if target != self.id:
            writer.write(wire.response(421, b"", {
                HEADER_PREFIX + "Request-Id": self.request_id(request),
                HEADER_PREFIX + "Instance-Id": self.id}))
            return True
        copy = self.late_copies.pop(writer, None)
        if copy:
            writer.write(copy)
        return await self.execute(request, reader, writer)

    async def execute(self, request, reader, writer):
        run_id = self.request_id(request)
        behaviour = request.path.rsplit("/", 1)[1].split("-")
        if behaviour[0] == "once":
            first = not os.path.exists(f"ran.{run_id}")
            with open(f"ran.{run_id}", "w", encoding="ascii"):
                pass
            behaviour = behaviour[1:] if first else ["ok"]
        if behaviour[0] == "turns":
            with open(f"ran.{run_id}", "a+", encoding="ascii") as f:
                f.write("x")
                n = f.tell()
            behaviour = [behaviour[min(n, len(behaviour) - 1)]]
        if behaviour[0] in ("then", "ever", "badthen", "badever"):
            first = "burstbad" if behaviour[0].startswith("bad") else "die"
            with open(f"ran.{run_id}", "a+", encoding="ascii") as f:
                f.write("x")
                n = f.tell()
            behaviour = ([first] if n == 1 else ["ok"]
                         if n > 2 and behaviour[0].endswith("then")
                         else ["answer"] + behaviour[1:])
        if behaviour[0] in ("shed", "shedlate", "busy"):
            more = self.busy_headers() if behaviour[0] == "busy" else {}
            if behaviour[0] == "shedlate":
                more = {"Keep-Alive": "timeout=5"}
            refusal = wire.response(503, b"", {
                **more,
                HEADER_PREFIX + "Request-Id": run_id,
                HEADER_PREFIX + "Not-Executed": "1"})
            if behaviour[0] == "shedlate":
                self.late_copies[writer] = refusal
            writer.write(refusal)
            return True
        if self.slots.slots and writer.transport.is_closing():
            return False
        if self.slots.slots and self.slots.is_full():
            writer.write(wire.response(503, b"", {
                HEADER_PREFIX + "Request-Id": run_id,
                HEADER_PREFIX + "Not-Executed": "1"}))
            if self.slots.turn_away():
                self.fall(brittle.RESTART_S)
                return False
            return True
        self.runs.append(run_id)
        self.begun.append(round(time.monotonic(), 3))
        self.log_version("begun")
        # Persists after exit; tests count the runs of all servers in it.
        with open("runs.log", "a", encoding="ascii") as f:
            f.write(f"{run_id} {self.service}\n")
        self.seen.append({
            "deadline": int(
                request.headers[HEADER_PREFIX.lower() + "deadline-ms"]),
            "last": request.headers.get("last-event-id"),
            "from": request.headers.get("kv-from")})
        if behaviour[0] == "crash" or request.body.startswith(b"crash"):
            await asyncio.sleep(CRASH_REQUEST_AFTER_S)
            await self.crash(writer)
            return False
        if behaviour[0] == "head" or behaviour[:2] == ["answer", "head"]:
            headers = self.response_headers(request)
            if self.engine:
                headers["Content-Type"] = "text/event-stream"
            return await heads.write_head(
                writer, "-".join(behaviour[behaviour.index("head") + 1:]),
                headers)
        if behaviour[0] == "early":
            headers = self.response_headers(request)
            if self.engine:
                headers["Content-Type"] = "text/event-stream"
            return await bad_responses.write_early(
                writer, "-".join(behaviour[1:]), headers)
        if behaviour[0] == "status" or behaviour[:2] == ["answer", "status"]:
            return await statuses.write_status(
                writer, "-".join(behaviour[behaviour.index("status") + 1:]),
                self.response_headers(request))
        if behaviour[0] == "answer":
            return await bad_responses.write_other(
                writer, behaviour[1], self.response_headers(request),
                int(request.headers.get("last-event-id", 0)))
        if behaviour[0].startswith("halves_"):
            return await halves.write_halves(
                writer, behaviour[0].partition("_")[2].replace("_", "-"),
                self.id, self.response_headers(request),
                request.method != "HEAD")
        if self.slots.slots and not await self.slots.work(reader):
            return False
        event_s = 0
        if self.bad.command:
            fails, event_s = await self.bad.delay(request.path)
            if fails:
                writer.write(wire.response(500, b"failed\n",
                                           self.response_headers(request)))
                return True
        if self.engine:
            return await self.stream_events(request, behaviour[0], reader,
                                            writer, event_s)
        return await self.respond(request, behaviour[0], reader, writer)

    async def respond(self, request, behaviour, reader, writer):
        response = self.echo_response(request)
        if behaviour == "fail":
            response = wire.response(500, b"failed\n",
                                     self.response_headers(request))
        elif behaviour == "cut":
            return False
        elif behaviour == "short":
            writer.write(response[:-5])
            return False
        elif behaviour == "wrong":
            response = wire.response(200, b"forged\n", {})
        elif behaviour == "late":
            other = wire.response(200, b"other\n", {
                HEADER_PREFIX + "Request-Id": "other",
                HEADER_PREFIX + "Response-Seal": "other"})
            response = other + response
        elif behaviour == "extra":
            response = response + response
        elif behaviour in ("unframed", "unframed409", "unframed500"):
            headers = self.response_headers(request)
            status = behaviour.removeprefix("unframed") or 200
            writer.write(wire.response_head(status, headers) + b"unframed\n")
            return False
        elif behaviour == "unframedstop":
            headers = self.response_headers(request)
            writer.write(wire.response_head(200, headers) + b"unframed\n")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            os.kill(os.getpid(), signal.SIGSTOP)
            return False
        elif behaviour == "unframedsilent":
            headers = self.response_headers(request)
            writer.write(wire.response_head(200, headers) + b"unframed\n")
            await writer.drain()
            self.writers.discard(writer)
            writer.close()
            await writer.wait_closed()
            self.be_silent(SILENCE_MS)
            return False
        elif behaviour in ("unframeddie", "unframeddie409", "unframeddie500",
                           "unframeddark"):
            headers = self.response_headers(request)
            status = behaviour.removeprefix("unframeddie")
            writer.write(wire.response_head(
                status if status.isdigit() else 200, headers) + b"unfr")
            if behaviour != "unframeddark":
                await self.close_and_crash(writer)
            else:
                await self.close_and_go_dark(writer)
            return False
        elif behaviour == "slow":
            await asyncio.sleep(0.4)
        elif behaviour == "mostly":
            await asyncio.sleep(MOSTLY_S)
        elif behaviour == "mostshed":
            await asyncio.sleep(MOSTLY_S)
            response = wire.response(503, b"", {
                HEADER_PREFIX + "Request-Id": self.request_id(request),
                HEADER_PREFIX + "Not-Executed": "1"})
        elif behaviour == "mostbare":
            await asyncio.sleep(MOSTLY_S)
            response = wire.response(200, b"not yours\n", {
                HEADER_PREFIX + "Response-Seal": "seal"})
        elif behaviour == "mostfail":
            await asyncio.sleep(MOSTLY_S)
            response = wire.response(500, b"failed\n",
                                     self.response_headers(request))
        elif behaviour == "mostcrash":
            await asyncio.sleep(MOSTLY_S)
            await self.crash(writer)
            return False
        elif behaviour in ("bulky", "bulkycut"):
            response = wire.response(200, b"B" * BULKY_BYTES,
                                     self.response_headers(request))
            writer.write(response[:-BULKY_BYTES // 2])
            await writer.drain()
            await asyncio.sleep(0.1 if behaviour == "bulkycut" else 0.35)
            if behaviour == "bulkycut":
                return False
            response = response[-BULKY_BYTES // 2:]
        elif behaviour == "long":
            await asyncio.sleep(LONG_S)
        elif behaviour == "copylate":
            self.late_copies[writer] = response
        elif behaviour == "copyidle":
            writer.write(response)
            await writer.drain()
            await asyncio.sleep(0.05)
        elif behaviour == "bare":
            response = wire.response(200, b"not yours\n", {
                HEADER_PREFIX + "Response-Seal": "seal"})
        elif behaviour == "bareshed":
            response = wire.response(503, b"", {
                HEADER_PREFIX + "Not-Executed": "1"})
        elif behaviour.startswith("cut"):
            return await bad_responses.write_cut(
                writer, bad_responses.cut_points(
                    self.response_headers(request))[behaviour])
        elif behaviour.startswith("endless"):
            start = bad_responses.endless_starts(
                self.response_headers(request))[behaviour]
            self.endless_bytes.append(await bad_responses.write_endless(
                writer, behaviour, start))
            return False
        elif behaviour == "trickle":
            return await bad_responses.write_trickle(
                writer, self.response_headers(request))
        elif behaviour == "hang":
            await asyncio.sleep(3600)
        elif behaviour == "pause":
            await asyncio.sleep(PAUSE_S)
        writer.write(response)
        await writer.drain()
        return True

    async def stream_events(self, request, behaviour, reader, writer,
                            event_s=0):
        last = int(request.headers.get("last-event-id", 0))
        headers = self.response_headers(request, **{
            "Transfer-Encoding": "chunked",
            "Content-Type": "text/event-stream"})
        if self.shares_part(request, "dead"):
            await asyncio.sleep(CRASH_AFTER_S)
            writer.write(wire.response_head(200, headers))
            await self.crash(writer)
            return False
        slow = behaviour in ("slow", "many", "plainslowdie")
        if behaviour == "plainslowdie":
            behaviour = "plaindie"
        if behaviour in ("empty", "plain", "plaincut", "plaindie", "plaindark"):
            del headers["Transfer-Encoding"]
        if behaviour in ("burst", "burstbad"):
            n = EVENT_COUNT if behaviour == "burst" else 3
            events = b"".join(f"id: {i}\ndata: token {i} {self.version}\n\n"
                              .encode() for i in range(last + 1, n + 1))
            end = b"0\r\n\r\n" if behaviour == "burst" else b"error\r\n"
            writer.write(wire.response_head(200, headers))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b"%x\r\n" % len(events) + events + b"\r\n" + end)
            await writer.drain()
            return behaviour == "burst"
        writer.write(wire.response_head(200, headers))
        disconnected = asyncio.ensure_future(reader.read(1))
        if behaviour == "empty":
            disconnected.cancel()
            return False
        if behaviour == "resetall":
            await writer.drain()
            disconnected.cancel()
            writer.transport.abort()
            await asyncio.sleep(RESET_OTHERS_S)
            for other in list(self.writers):
                other.transport.abort()
            return False
        if behaviour in ("wait", "lost"):
            self.queued += behaviour == "wait"
            await asyncio.wait([disconnected], timeout=3.5)
            self.queued -= behaviour == "wait"
            if behaviour == "lost":
                self.abandoned.append(0)
                return False
        big = behaviour == "big"
        count = {"big": 200, "many": 30}.get(behaviour, EVENT_COUNT)
        for n in range(last + 1, count + 1):
            await asyncio.wait([disconnected],
                               timeout=(0 if big else 0.15 if slow
                                        else EVENT_INTERVAL_S) + event_s)
            if disconnected.done():
                self.abandoned.append(n)
                return False
            token = "x" * 60000 if big else f"token {n} {self.version}"
            event = f"id: {n}\ndata: {token}\n\n".encode()
            if n == 4 and self.shares_part(request, "late"):
                await asyncio.sleep(CRASH_AFTER_S if last else 0)
                await self.crash(writer)
                return False
            if n == 4 and behaviour == "die":
                writer.write(b"%x\r\n" % len(event) + event[:9])
                await writer.drain()
                writer.transport.abort()
                disconnected.cancel()
                return False
            if n == last + 4 and behaviour == "pause":
                await asyncio.wait([disconnected], timeout=PAUSE_S)
            if n == 4 and behaviour == "mute":
                await asyncio.wait([disconnected], timeout=30)
                self.abandoned.append(n)
                return False
            if n == 4 and behaviour in ("trickle", "comments", "endlessevent"):
                await self.write_without_event(behaviour, disconnected, writer)
                self.abandoned.append(n)
                return False
            if behaviour == "steady":
                writer.write(b"5\r\n: w\n\n\r\n")
                await asyncio.sleep(0.27)
            if behaviour in ("plaindie", "plaindark") and n == 4:
                disconnected.cancel()
                if behaviour == "plaindie":
                    await self.close_and_crash(writer)
                else:
                    await self.close_and_go_dark(writer)
                return False
            if behaviour in ("plain", "plaincut", "plaindie", "plaindark"):
                cut = n == 4 and behaviour == "plaincut"
                writer.write(event[:9] if cut else event)
                await writer.drain()
                if cut:
                    disconnected.cancel()
                    return False
                continue
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        if behaviour == "cutend":
            disconnected.cancel()
            return False
        if behaviour not in ("plain", "plaindie", "plaindark"):
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        disconnected.cancel()
        try:
            await disconnected
        except asyncio.CancelledError:
            pass
        return False


    async def write_without_event(self, behaviour, disconnected, writer):
        parts = {"trickle": (b"x", 0.1), "comments": (b": wait\n\n", 0.1),
                 "endlessevent": (b"data: " + b"x" * 4096 + b"\n", 0)}
        part, interval_s = parts[behaviour]
        writer.write(b"7\r\nid: 4\nd\r\n" if behaviour == "trickle" else b"")
        try:
            while not disconnected.done():
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
                await writer.drain()
                await asyncio.wait([disconnected], timeout=interval_s)
        except ConnectionError:
            pass


async def main():
    server = Server(sys.argv[1:])
    await server.listen()
    port = server.port
    server.register(port)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, server.register, port, "draining")
    loop.add_signal_handler(signal.SIGUSR2, server.register, port)
    await stop.wait()


asyncio.run(main())
