"""ORDER: a stream that was passed on twice goes on at the first one's version."""

import asyncio
import os
import signal
import socket
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import *  # noqa: E402,F403

N_STREAMS = 100
N_EVENTS = 100
INTERVAL_S = 0.15
PREFILL_S = 1.2
SPREAD_S = 0.8  # in which the streams are sent
CUT_S = 5.5


async def main(record, directory, daemons):
    store = Store(record)
    asyncio.ensure_future(store.expire())
    store.put_config(3, [route(name, "streaming", "llm", resumable=True,
                               sticky=True, target_gap_ms=700)
                         for name in ("draft", "short")],
                     [{"name": "llm", "max_connections": 700, "engine": {}}],
                     [{"name": "north", "api_keys": ["key-1"]}])
    cut = set()  # addresses of machines that are partitioned from all replicas
    events = stream_of(N_EVENTS, INTERVAL_S)

    short = stream_of(1, 0.01)

    async def run_request(server, request, reader, writer):
        if request["target"].startswith("/short/"):
            return await short(server, request, reader, writer)
        await asyncio.sleep(PREFILL_S)  # the prompt is read
        if writer.transport.is_closing():
            return False
        return await events(server, request, reader, writer)

    async def start_server(zone, version):
        server = PartitionedServer(record, store, "llm", zone, version, engine=True)
        server.cut, server.run_request = cut, run_request
        servers.append(server)
        return await server.start()
    servers = []
    for zone in "abca":
        await start_server(zone, "v1")
    for i, zone in enumerate("abc"):
        daemons.append(Daemon(record, directory, f"front-{zone}-1", zone,
                              await store.listen(), source=f"127.0.0.{i + 11}").start())
    for daemon in daemons:
        if not await daemon.ready():
            return NOT_RUN
    a, b, c = daemons
    await asyncio.sleep(6)
    # Planned work: a release has begun, both versions serve side by side.
    for zone in "abca":
        await start_server(zone, "v2")
    await asyncio.sleep(2)

    more = [{PREFIX + "Model": "m", PREFIX + "Token-Counts": "100,100",
             PREFIX + "Prompt-Prefix": f"{i * 7919 + 17:x}:100"}
            for i in range(N_STREAMS)]
    if TROUBLE:
        record("front-a-1 is partitioned from all replicas: its channels are reset")
        cut.add("127.0.0.11")
        for server in servers:
            server.reset_channels()
        # It finds out by its first requests, and passes the later ones on.
        passed_on = 0
        for i in range(40):
            passed_on += (await send(
                record, a.port, f"w{i}", "/short/1", "key-1", deadline_ms=2000,
                more={PREFIX + "Prompt-Prefix": f"ff{i}:100"})).status == 200
            if passed_on == 3:
                break
            await asyncio.sleep(0.05)
    answers = [Answer() for _ in range(N_STREAMS)]
    tasks = []
    for i in range(N_STREAMS):
        tasks.append(asyncio.ensure_future(send(
            record, a.port, f"s{i:03}", "/draft/1", "key-1", answer=answers[i],
            more=more[i])))
        await asyncio.sleep(SPREAD_S / N_STREAMS)
    await asyncio.sleep(0.2)
    if TROUBLE:
        b.signal(signal.SIGKILL)
    await asyncio.sleep(CUT_S - 2.9)
    if TROUBLE:
        cut.clear()
        record("front-a-1 reaches replicas again")
    # Planned work: front-a-1 is stopped. What still runs at the end of the grace
    # period breaks off, and its client takes it up.
    a.signal(signal.SIGTERM)
    await asyncio.gather(*tasks, return_exceptions=True)
    broken = [i for i in range(N_STREAMS)
              if answers[i].events() and not answers[i].whole]
    record(f"{len(broken)} streams broke off after events; their clients take them up "
           f"at front-c-1")

    async def resume(i):
        for attempt in range(2):  # the try and one retry
            answer = await send(record, c.port, f"s{i:03}-{attempt}", "/draft/1",
                                "key-1", more={
                                    **more[i], "Resumes": f"s{i:03}",
                                    "Last-Event-Id": answers[i].events()[-1][0]})
            if answer.status == 200:
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
        return i, answer
    joined = resumed = 0
    for i, answer in await asyncio.gather(*[resume(i) for i in broken]):
        first = answers[i].events()
        rest = answer.events() if answer.status == 200 else []
        versions = {v for _, v in first} | {v for _, v in rest}
        resumed += bool(rest)
        joined += len(versions) > 1
        record(f"stream s{i:03}: {len(first)} events of "
               f"{sorted({v for _, v in first})} at front-a-1, then {len(rest)} of "
               f"{sorted({v for _, v in rest})}"
               f"{', JOINED of two versions' if len(versions) > 1 else ''}")
    record(f"{resumed} of {len(broken)} streams went on, {joined} hold events of two "
           f"software versions; more than 2 break the rule")
    if not broken or (resumed == 0 and not TROUBLE):  # refusals keep the rule
        return NOT_RUN
    return BROKEN if joined > 2 else HELD


class PartitionedServer(Server):
    """A replica that resets channels from the addresses in `cut`."""

    def admits(self, transport):
        if transport.get_extra_info("peername")[0] not in self.cut:
            return True
        reset(transport)
        return False

    def reset_channels(self):
        for transport in [w.transport for w in self.writers] + list(self.transports):
            peer = transport.get_extra_info("peername")
            if peer and peer[0] in self.cut:
                reset(transport)


def reset(transport):
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


run(FOLDER, main)
