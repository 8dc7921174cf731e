"""ORDER: a store that comes back from a copy while daemons are killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import *  # noqa: E402,F403

N_STREAMS = 60
N_EVENTS = 60
INTERVAL_S = 0.3
SPREAD_S = 0.8  # in which the streams are sent
AIM_MS, GAP_MS = 1000, 500
COPY_AGE_S = 5.0  # "some seconds old"
AWAY_S = 1.0  # "away for a moment"
RESTART_S = 0.2  # "restarted after a short delay"
NAMES = ["front-a-1", "front-b-1", "front-a-2", "front-b-2"]


async def main(record, directory, daemons):
    store = Store(record)
    ports = [await store.listen() for _ in NAMES]
    asyncio.ensure_future(store.expire())
    routes = [route("draft", "streaming", "llm", resumable=True, sticky=True,
                    target_latency_ms=AIM_MS, target_gap_ms=GAP_MS)]
    services = [{"name": "llm", "max_connections": 700, "engine": {}}]
    tenants = [{"name": "north", "api_keys": ["key-1"]}]
    store.put_config(3, routes, services, tenants)

    async def start_server(zone, version):
        server = Server(record, store, "llm", zone, version, engine=True)
        server.run_request = stream_of(N_EVENTS, INTERVAL_S)
        return await server.start()
    servers = [await start_server(z, "v1") for z in "ab"]
    daemons += [Daemon(record, directory, name, name[6], port).start()
                for name, port in zip(NAMES, ports)]
    for daemon in daemons:
        if not await daemon.ready():
            return NOT_RUN
    a, killed = daemons[0], [daemons[0], daemons[2]]
    await asyncio.sleep(6)
    # Planned work: a release has begun, both versions serve side by side.
    servers += [await start_server(z, "v2") for z in "ab"]
    await asyncio.sleep(2)

    async def start_again(names):
        for daemon in names:
            daemon.process.wait()
        await asyncio.sleep(RESTART_S)
        for daemon in names:
            daemon.start()

    async def resume(i):
        """The try and one retry, at any other address that hasn't failed."""
        await asyncio.wait([tasks[i]])
        events = answers[i].events()
        addresses = daemons[1:]
        answer, tries = Answer(), 0
        while addresses and tries < 2:
            daemon = random.choice(addresses)
            try:
                answer = await send(
                    record, daemon.port, f"s{i:02}-{tries}", "/draft/1", "key-1",
                    more={PREFIX + "Model": "m", PREFIX + "Token-Counts": "100,60",
                          PREFIX + "Prompt-Prefix": f"aa{i:02x}:100",
                          "Last-Event-Id": events[-1][0], "Resumes": f"s{i:02}"})
            except OSError:  # no channel
                await asyncio.sleep(0.1)
                continue
            tries += 1
            if answer.status == 200:
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
        return events, answer

    copied = store.state()
    record("the copy of the store is made")
    copied_at = record.now()
    answers = [Answer() for _ in range(N_STREAMS)]
    tasks = []
    for i in range(N_STREAMS):
        tasks.append(asyncio.ensure_future(send(
            record, a.port, f"s{i:02}", "/draft/1", "key-1", answer=answers[i],
            more={PREFIX + "Model": "m", PREFIX + "Token-Counts": "100,60",
                  PREFIX + "Prompt-Prefix": f"aa{i:02x}:100"})))
        await asyncio.sleep(SPREAD_S / N_STREAMS)
    await asyncio.sleep(copied_at + COPY_AGE_S - AWAY_S - record.now())
    if any(not answer.events() for answer in answers):
        record("a stream has not begun")
        return NOT_RUN
    if TROUBLE:
        record("the store is away")
        store.go_away()
        await asyncio.sleep(AWAY_S / 2)
        for daemon in killed:
            daemon.signal(signal.SIGKILL)
        restart = asyncio.ensure_future(start_again(killed))
    else:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        restart = asyncio.ensure_future(asyncio.sleep(0))
    record("the clients' channels to front-a-1 are broken")
    resumed_streams = asyncio.gather(*[resume(i) for i in range(N_STREAMS)])
    if TROUBLE:
        await asyncio.sleep(AWAY_S / 2)
        store.restore(copied)
        store.away = False
        record(f"the store is back from a copy that is "
               f"{record.now() - copied_at:.1f} s old, era {store.era}")
        # What the operator and the replicas wrote is written again.
        store.put_config(3, routes, services, tenants)
        for server in servers:
            server.write_entry()
    await restart
    joined = resumed = 0
    for i, (events, answer) in enumerate(await resumed_streams):
        more = answer.events() if answer.status == 200 else []
        versions = {v for _, v in events} | {v for _, v in more}
        ids = [n for n, _ in events + more]
        resumed += bool(more)
        joined += len(versions) > 1
        record(f"stream s{i:02}: {len(events)} events of "
               f"{sorted({v for _, v in events})} at front-a-1, then {len(more)} of "
               f"{sorted({v for _, v in more})}, ids "
               f"{'in order' if ids == list(range(1, len(ids) + 1)) else 'WRONG'}"
               f"{', JOINED of two versions' if len(versions) > 1 else ''}")
    record(f"{resumed} of {N_STREAMS} streams went on, {joined} hold events of two "
           f"software versions; more than 2 break the rule")
    if resumed == 0 and not TROUBLE:  # refusals keep the rule
        return NOT_RUN
    return BROKEN if joined > 2 else HELD


run(FOLDER, main)
