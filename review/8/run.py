"""A daemon goes on by an old configuration for seconds after the store is back."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import harness

# TROUBLE=0 leaves out the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_MIN_S, DOWN_MAX_S = 5.0, 8.0
# The store comes back so long after it swallowed a call of the third daemon.
ASKED_S = 0.1, 0.4
CHANGE_AFTER_S = 0.3
ASK_S = 0.05
END_S = 8.0  # after the end of the outage


class WatchedProxy(harness.Proxy):
    """Notes when the daemon last asked the store for changes."""

    asked_at = None

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if b"/v1/kv-watch" in data or b"/v1/kv-range" in data:
                    self.asked_at = asyncio.get_running_loop().time()
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError):
            pass
        writer.close()


def routes(service):
    return [{"name": "open", "host": "h.example", "path_prefix": "/open/",
             "kind": "idempotent", "service": service, "anonymous": True,
             "max_attempts": 2, "timeout_ms": 1500, "target_latency_ms": 300}]


async def scenario(case):
    loop = asyncio.get_running_loop()
    await case.start_store()
    old = [await case.start_server(f"i-app{z}", "app", z) for z in "abc"]
    new = [await case.start_server(f"i-desk{z}", "desk", z) for z in "abc"]
    await case.operator("op/config", case.config(["key-1"], routes("app")))
    # The first two daemons watch the store, the third one asks them.
    await case.start_daemon(1, "a")
    await case.start_daemon(2, "b")
    link = await WatchedProxy(case.store_port).start()
    third = await case.start_daemon(3, "c", store=link.port)
    await case.await_ready()
    await asyncio.sleep(5)
    if case.trouble:
        began = loop.time()
        await case.post("/faults", {"mode": "silent"})
        case.record("the store gives no answer")
        await asyncio.sleep(DOWN_MIN_S / 2)
        await case.post("/faults", {"compact": True})
        case.record("the store drops its history")
        await asyncio.sleep(began + DOWN_MIN_S - loop.time())
        while (loop.time() < began + DOWN_MAX_S and
               not ASKED_S[0] < loop.time() - (link.asked_at or 0) < ASKED_S[1]):
            await asyncio.sleep(0.02)
        await case.post("/faults", {"mode": "ok"})
        case.record(f"the store is back after {loop.time() - began:.2f} s")
    back = case.now()
    await asyncio.sleep(CHANGE_AFTER_S)
    await case.operator("op/config", case.config(["key-1"], routes("desk")))
    acked = case.now()
    case.record("the store confirms that /open/ goes to desk")
    due = max(back + harness.CONTACT_MS / 1000,
              acked + harness.CONFIG_APPLY_MS / 1000)
    sent, tasks = {}, []
    while case.now() < back + END_S:
        for daemon in case.daemons.values():
            tasks.append(asyncio.ensure_future(
                send(case, sent, daemon, f"q{len(tasks)}")))
        await asyncio.sleep(ASK_S)
    await asyncio.gather(*tasks)
    ran = {}
    for service, servers in (("app", old), ("desk", new)):
        for _, port in servers:
            for request_id in (await case.stats(port))["runs"]:
                ran[request_id] = service
    problems = []
    for request_id, (at, name, status) in sent.items():
        service = ran.get(request_id, "no service")
        case.record(f"{request_id} sent to {name} {at - back:.3f} s after the store "
                    f"came back, {at - acked:.3f} s after the confirmation: answered "
                    f"{status}, run by {service}")
        if service == "app" and at > due:
            problems.append(f"{request_id}, sent to {name} {at - acked:.3f} s after "
                            "the confirmation, was run by the old service")
    return problems


async def send(case, sent, daemon, request_id):
    at = case.now()
    response = await daemon.send("/open/ok", request_id, "none")
    sent[request_id] = (at, daemon.name,
                        response.status if response else "nothing")


harness.run(FOLDER, scenario, TROUBLE)
