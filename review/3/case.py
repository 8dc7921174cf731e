"""ORDER: a daemon cut off from the store doesn't know of a release's first replica."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import *  # noqa: E402,F403

N_STREAMS = 24
N_EVENTS = 80
N_OTHERS = 5
INTERVAL_S = 0.1
STEADY_S = 66  # with one version only
CUT_S = 5.5


async def main(record, directory, daemons):
    store = Store(record)
    ports = [await store.listen() for _ in range(2)]
    asyncio.ensure_future(store.expire())
    store.put_config(3, [route("draft", "streaming", "llm", resumable=True,
                               sticky=True, target_gap_ms=700)],
                     [{"name": "llm", "max_connections": 700, "engine": {}}],
                     [{"name": "north", "api_keys": ["key-1"]}])

    async def start_server(zone, version):
        server = Server(record, store, "llm", zone, version, engine=True)
        server.run_request = stream_of(N_EVENTS, INTERVAL_S)
        return await server.start()
    for zone in "ab":
        await start_server(zone, "v1")
    for i in range(8):  # replicas of another service, which check in as usual
        await Server(record, store, "app", "ab"[i % 2]).start()
        await asyncio.sleep(0.15)
    a = Daemon(record, directory, "front-a-1", "a", ports[0])
    b = Daemon(record, directory, "front-b-1", "b", ports[1])
    daemons += [a, b]
    # Others, so that one is a share of 1/7: no client of the case uses them.
    for i in range(N_OTHERS):
        daemons.append(Daemon(record, directory, f"front-{'ab'[i % 2]}-{i // 2 + 2}",
                              "ab"[i % 2], ports[0]))
    for daemon in daemons:
        daemon.start()
    if not all([await daemon.ready() for daemon in daemons]):
        return NOT_RUN
    await asyncio.sleep(STEADY_S)

    if TROUBLE:
        record("front-b-1 is partitioned from the store")
        store.silent_ports.add(ports[1])
    # Planned work: a release begins, its new replica starts first.
    await start_server("a", "v2")
    await asyncio.sleep(0.4)
    answers = [Answer() for _ in range(N_STREAMS)]
    more = [{PREFIX + "Model": "m", PREFIX + "Token-Counts": "100,80",
             PREFIX + "Prompt-Prefix": f"{i * 7919 + 17:x}:100"}
            for i in range(N_STREAMS)]
    tasks = [asyncio.ensure_future(send(
        record, a.port, f"s{i:02}", "/draft/1", "key-1", answer=answers[i],
        more=more[i])) for i in range(N_STREAMS)]
    await asyncio.sleep(0.5)
    if TROUBLE:
        a.signal(signal.SIGKILL)
    else:
        for task in tasks:
            task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    begun = [i for i in range(N_STREAMS) if answers[i].events()]
    record(f"{len(begun)} streams broke off after events; their clients take them up "
           f"at front-b-1")

    async def resume(i):
        for attempt in range(2):  # the try and one retry
            answer = await send(record, b.port, f"s{i:02}-{attempt}", "/draft/1",
                                "key-1", more={
                                    **more[i], "Resumes": f"s{i:02}",
                                    "Last-Event-Id": answers[i].events()[-1][0]})
            if answer.status == 200:
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
        return i, answer
    results = asyncio.gather(*[resume(i) for i in begun])
    await asyncio.sleep(CUT_S - 1.0)
    store.silent_ports.clear()
    record("front-b-1 reaches the store again")
    joined = resumed = 0
    for i, answer in await results:
        events = answers[i].events()
        rest = answer.events() if answer.status == 200 else []
        versions = {v for _, v in events} | {v for _, v in rest}
        resumed += bool(rest)
        joined += len(versions) > 1
        record(f"stream s{i:02}: {len(events)} events of "
               f"{sorted({v for _, v in events})} at front-a-1, then {len(rest)} of "
               f"{sorted({v for _, v in rest})}"
               f"{', JOINED of two versions' if len(versions) > 1 else ''}")
    record(f"{resumed} of {len(begun)} streams went on, {joined} hold events of two "
           f"software versions; more than 2 break the rule")
    if not any(v == "v2" for answer in answers for _, v in answer.events()):
        record("no stream began at the new version")
        return NOT_RUN
    return BROKEN if joined > 2 else HELD


run(FOLDER, main)
