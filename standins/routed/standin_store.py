#!/usr/bin/env python3
"""Stand-in for the platform's store: revisions, watches, leases, faults.

usage: standin_store.py PORTS_FILE

Besides the published calls it takes POST /operator {"key", "value" (JSON) or
"remove": true} for what the operator and the servers write, POST /faults
{"mode": "ok"|"busy"|"reset"|"silent"|"lost", "compact": true} and GET /stats.
"""

import asyncio
import base64
import json
import signal
import sys
import time

import wire

PAGE = 5  # items; small, so that tests see several pages


class Store:
    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.oldest = 10  # revisions after this one are in the history
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.mode = "ok"
        self.calls = {}

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items.get(key, {}).get("create_revision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "create_revision": made, "lease": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"key": key, "revision": self.revision,
                       "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, end) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        if lease not in self.leases:
            return False
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        return True

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.oldest:
                return wire.whole_json(410, {})
            events = [e for e in self.history if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return wire.whole_json(200, {
                    "events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def range(self, prefix, after):
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        return wire.whole_json(200, {
            "items": [self.items[k] for k in keys[:PAGE]],
            "more_pages": len(keys) > PAGE, "store_revision": self.revision})

    def txn(self, request):
        wrong = [row for row in request.get("expected", [])
                 if self.items.get(row["key"], {}).get("revision", 0)
                 != row["revision"]]
        if wrong:
            return wire.whole_json(412, {"items": []})
        for write in request.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return wire.whole_json(404, {})
        for write in request.get("writes", []):
            self.put(write["key"], write["value"], write.get("lease", 0))
        for key in request.get("remove", []):
            self.remove(key)
        return wire.whole_json(200, {"revision": self.revision})

    def lease(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms,
                                        time.monotonic() + ttl_ms / 1000)
        return wire.whole_json(200, {"lease": self.next_lease,
                                     "ttl_ms": ttl_ms})

    def keep(self, lease):
        if lease not in self.leases:
            return wire.whole_json(404, {})
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return wire.whole_json(200, {"ttl_ms": ttl_ms})

    async def answer(self, request):
        path, query = request.path, request.query
        name = path.split("/")[2] if path.count("/") >= 2 else path
        self.calls[name] = self.calls.get(name, 0) + 1
        if path == "/v1/kv-range":
            return self.range(query["path_prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self.watch(query["path_prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return self.txn(request.json())
        if path == "/v1/kv-lease":
            return self.lease(request.json()["ttl_ms"])
        if path.startswith("/v1/kv-keep/"):
            return self.keep(int(path.rsplit("/", 1)[1]))
        if path.startswith("/v1/kv-lease-end/"):
            ok = self.end_lease(int(path.rsplit("/", 1)[1]))
            return wire.whole_json(200 if ok else 404, {})
        return wire.whole_json(404, {})

    def operate(self, request):
        order = request.json()
        if order.get("remove"):
            self.remove(order["key"])
        else:
            text = json.dumps(order["value"]).encode()
            self.put(order["key"], base64.b64encode(text).decode())
        return wire.whole_json(200, {"revision": self.revision})

    def fault(self, request):
        order = request.json()
        self.mode = order.get("mode", self.mode)
        if order.get("compact"):
            self.history.clear()
            self.oldest = self.revision + 1
            self.revision += 1
            self.changed.set()
            self.changed = asyncio.Event()
        return wire.whole_json(200, {})

    async def handle(self, request, reader, writer):
        if request.path == "/operator":
            answer = self.operate(request)
        elif request.path == "/faults":
            answer = self.fault(request)
        elif request.path == "/stats":
            answer = wire.whole_json(200, self.calls)
        elif self.mode == "busy":
            answer = wire.whole_json(503, {})
        elif self.mode == "reset":
            return False
        elif self.mode == "silent":
            await asyncio.sleep(3600)
            return False
        else:
            answer = await self.answer(request)
            if self.mode == "lost" and request.method != "GET":
                await asyncio.sleep(3600)
            if self.mode != "ok":
                return False
        writer.write(answer)
        await writer.drain()
        return True


async def main():
    store = Store()
    _, port = await wire.listen(store.handle, sys.argv[1])
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        store.expire()
        try:
            await asyncio.wait_for(stop.wait(), 0.1)
        except asyncio.TimeoutError:
            pass


asyncio.run(main())
