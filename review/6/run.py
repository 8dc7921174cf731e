"""A lookup that goes back to its first server gets a part of that server's answer."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import harness

# TROUBLE=0 leaves out the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 12  # at once
DEADLINE_MS = 500  # what the client has left
WORK_S = 0.06
SLOW_S = 0.3  # of a server with much to do, until it begins to answer
SILENT_S = 0.15  # between the two parts of an answer
CRASH_AFTER_S = 0.38  # one server of three, once
FIRST, SECOND = b'{"free":["08:00","10:30",', b'"13:00","15:30","17:00"]}\n'


class Server:
    """The first server that gets a request is slow, the second one is not."""

    def __init__(self, case, name, arrivals):
        self.case, self.name, self.arrivals = case, name, arrivals
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        await self.case.operator(f"servers/i-{self.name}", {
            "service": "app", "address": f"127.0.0.1:{port}", "zone": "a",
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
            "sequence": 1, "born": int(time.time() * 1000)})

    def crash(self):
        self.case.record(f"{self.name} crashes")
        self.server.close()
        for writer in self.writers:
            harness.reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        path = head.split(" ")[1]
        if path == "/healthz":
            writer.write(b"HTTP/1.1 200 OK\r\nGoldcrestfield-Instance-Id: i-" +
                         self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        fields = dict(line.lower().split(": ", 1)
                      for line in head.split("\r\n")[1:] if line)
        request = fields["goldcrestfield-request-id"]
        before = self.arrivals.setdefault(request, [])
        before.append(self.name)
        await asyncio.sleep(SLOW_S if len(before) == 1 else WORK_S)
        writer.write((f"HTTP/1.1 200 OK\r\n"
                      f"Goldcrestfield-Request-Id: {request}\r\n"
                      f"{harness.SEAL}: {self.name}\r\n"
                      f"Content-Length: {len(FIRST + SECOND)}\r\n"
                      f"\r\n").encode() + FIRST)
        await writer.drain()
        await asyncio.sleep(SILENT_S)
        writer.write(SECOND)
        return True


async def look(case, daemon, request, arrivals):
    """What was wrong with the answer, or nothing."""
    reader, writer = await daemon.connect()
    writer.write(harness.request_text("/look/slot", request, "key-1", DEADLINE_MS))
    data = b""
    try:
        data = await asyncio.wait_for(read_bytes(reader), DEADLINE_MS / 1000)
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    writer.close()
    case.record(f"{request}, run by {' and '.join(arrivals.get(request, []))}: {data!r}")
    head, _, body = data.partition(b"\r\n\r\n")
    status = head.split(b" ")[1] if head else b""
    if status == b"200" and body != FIRST + SECOND:
        return [f"{request}: 200 with {len(body)} of {len(FIRST + SECOND)} bytes"]
    if head and not 200 <= int(status) <= 599:
        return [f"{request}: status {int(status)}"]
    return []


async def read_bytes(reader):
    """A response as it stands; EOFError if it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n")
              if line.startswith(b"content-length:")]
    return head + await reader.readexactly(int(length[0].split(b":")[1]))


async def scenario(case):
    await case.start_store()
    arrivals = {}
    servers = [Server(case, name, arrivals) for name in ("app1", "app2", "app3")]
    for server in servers:
        await server.start()
    await case.operator("op/config", case.config(["key-1"]))
    daemon = await case.start_daemon(1, "a")
    await case.await_ready()
    await asyncio.sleep(1)
    tasks = [asyncio.ensure_future(look(case, daemon, f"q{i}", arrivals))
             for i in range(REQUESTS)]
    await asyncio.sleep(CRASH_AFTER_S)
    if case.trouble:
        servers[0].crash()
    return sum(await asyncio.gather(*tasks), [])


harness.run(FOLDER, scenario, TROUBLE)
