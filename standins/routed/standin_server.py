#!/usr/bin/env python3
"""Stand-in for a backend server behind the platform's protocol.

usage: standin_server.py PORTS_FILE ID SERVICE ZONE STORE_URL [engine]

It enters itself in the store. What it does follows from the last part of a
request's path, joined by "-":
  ok           answers
  fail         500
  shed         503, not run
  cut          closes the connection before the answer
  short        an answer that ends early
  wrong        an answer without the MAC
  late         first an answer to another request, then the right one
  extra        the answer twice
  unframed     an answer without a length
  slow         answers after 400 ms
  hang         never answers
  once         what follows holds only for the first server that gets the
               request; others answer ("once-cut")
  die          an engine leaves after its third event ("once-die")
  mute         an engine falls silent after its third event ("once-mute")
  big          an engine sends 200 events of 60 kB without a pause
GET /stats tells the runs by request id, the copies and the abandoned runs.
"""

import asyncio
import json
import os
import signal
import sys
import time
import urllib.request

import wire

EVENTS = 8
EVENT_S = 0.03
NAME = "Goldcrestfield-"


class Server:
    def __init__(self, args):
        self.id, self.service, self.zone, self.store = args[1:5]
        self.engine = len(args) > 5 and args[5] == "engine"
        self.runs = []
        self.orders = []
        self.abandoned = []
        self.seen = []

    def enter(self, port, state="ready"):
        value = {"service": self.service, "address": f"127.0.0.1:{port}",
                 "zone": self.zone, "version": "v1", "slots": 4,
                 "state": state, "sequence": 1,
                 "born": int(time.time() * 1000)}
        body = json.dumps({"key": f"servers/{self.id}", "value": value})
        urllib.request.urlopen(self.store + "/operator", body.encode())

    def head(self, request, **more):
        headers = {NAME + "Request-Id": request.headers.get(
            NAME.lower() + "request-id", ""),
            NAME + "Response-Seal": f"seal-{self.id}",
            "Keep-Alive": "timeout=5"}
        headers.update(more)
        return headers

    def answer(self, request):
        body = json.dumps({
            "server": self.id, "method": request.method,
            "target": request.target,
            "account": request.headers.get(NAME.lower() + "tenant"),
            "key": request.headers.get("authorization"),
            "hold": request.headers.get(NAME.lower() + "hold"),
            "body": request.body.decode("latin-1")}).encode() + b"\n"
        return wire.whole(200, body, self.head(request))

    async def handle(self, request, reader, writer):
        if request.path == "/stats":
            writer.write(wire.whole_json(200, {
                "runs": self.runs, "orders": self.orders,
                "abandoned": self.abandoned, "seen": self.seen}))
            return True
        if request.path == "/v1/report":
            writer.write(wire.whole_json(200, {
                "running": 0, "queued": 0, "kv_used": 0, "kv_total": 1000}))
            return True
        if request.path == "/v1/kv-move":
            self.orders.append(request.json())
            writer.write(wire.whole_json(200, {"handle": "h1"}))
            return True
        target = request.headers.get(NAME.lower() + "target-instance")
        if target != self.id:
            writer.write(wire.whole(421, b"", {NAME + "Instance-Id": self.id}))
            return True
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        run_id = request.headers.get(NAME.lower() + "request-id", "")
        how = request.path.rsplit("/", 1)[1].split("-")
        if how[0] == "once":
            first = not os.path.exists(f"ran.{run_id}")
            with open(f"ran.{run_id}", "w", encoding="ascii"):
                pass
            how = how[1:] if first else ["ok"]
        if how[0] == "shed":
            writer.write(wire.whole(503, b"", {NAME + "Not-Executed": "1"}))
            return True
        self.runs.append(run_id)
        # Outlives this process, for those who count the runs of all servers.
        with open("runs.log", "a", encoding="ascii") as f:
            f.write(f"{run_id} {self.service}\n")
        self.seen.append({
            "deadline": int(request.headers[NAME.lower() + "deadline-ms"]),
            "last": request.headers.get("last-event-id"),
            "from": request.headers.get("kv-from")})
        if self.engine:
            return await self.stream(request, how[0], reader, writer)
        return await self.plain(request, how[0], reader, writer)

    async def plain(self, request, how, reader, writer):
        answer = self.answer(request)
        if how == "fail":
            answer = wire.whole(500, b"failed\n", self.head(request))
        elif how == "cut":
            return False
        elif how == "short":
            writer.write(answer[:-5])
            return False
        elif how == "wrong":
            answer = wire.whole(200, b"forged\n", {})
        elif how == "late":
            other = wire.whole(200, b"other\n", {
                NAME + "Request-Id": "other",
                NAME + "Response-Seal": "other"})
            answer = other + answer
        elif how == "extra":
            answer = answer + answer
        elif how == "unframed":
            writer.write(wire.head(200, self.head(request)) + b"unframed\n")
            return False
        elif how == "slow":
            await asyncio.sleep(0.4)
        elif how == "hang":
            await asyncio.sleep(3600)
        writer.write(answer)
        await writer.drain()
        return True

    async def stream(self, request, how, reader, writer):
        last = int(request.headers.get("last-event-id", 0))
        headers = self.head(request, **{"Transfer-Encoding": "chunked",
                                        "Content-Type": "text/event-stream"})
        writer.write(wire.head(200, headers))
        gone = asyncio.ensure_future(reader.read(1))
        big = how == "big"
        for n in range(last + 1, (200 if big else EVENTS) + 1):
            await asyncio.wait([gone], timeout=0 if big else EVENT_S)
            if gone.done():
                self.abandoned.append(n)
                return False
            token = "x" * 60000 if big else f"token {n}"
            event = f"id: {n}\ndata: {token}\n\n".encode()
            if n == 4 and how == "die":
                writer.write(b"%x\r\n" % len(event) + event[:9])
                await writer.drain()
                writer.transport.abort()
                gone.cancel()
                return False
            if n == 4 and how == "mute":
                await asyncio.wait([gone], timeout=30)
                self.abandoned.append(n)
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        return False


async def main():
    server = Server(sys.argv[1:])
    _, port = await wire.listen(server.handle, sys.argv[1])
    server.enter(port)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, server.enter, port, "draining")
    await stop.wait()


asyncio.run(main())
