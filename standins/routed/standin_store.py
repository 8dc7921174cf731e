#!/usr/bin/env python3
"""Stand-in for the platform's store: revisions, watches, leases, faults.

usage: standin_store.py PORTS_FILE

In addition to the calls of the published protocol:
  POST /operator {"key", "value" (JSON), "bytes" (base64) or "remove": true}
      writes or removes an item, as operators and servers do; U+DCFF in a key
      is sent as a byte that is not UTF-8
  POST /faults {"mode", "compact": true}
      "compact" discards the history; "checkpoint" makes a copy of the store,
      "restore" goes back to it and raises the era; the next "omit_era": N
      responses lack the header Store-Era; "era_text" replaces its value. The mode applies to further requests:
      ok      no fault
      busy    status 503
      reset   closes the connection without a response
      silent  sends no response
      lost    handles the request, but sends no response to a write and closes
              the connection of a read
  GET /stats
      the number of calls by type
"""

import asyncio
import base64
import copy
import json
import signal
import sys
import time

import wire

PAGE_ITEMS = 5  # small, so that tests see several pages


# Keys are in the order of their bytes; see U+DCFF above.
def key_bytes(key):
    return key.encode("utf-8", "surrogatepass").replace(b"\xed\xb3\xbf", b"\xff")


class Store:
    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        # The history holds the changes after this revision.
        self.compacted_revision = 10
        self.leases = {}
        self.next_lease = 100
        self.change_event = asyncio.Event()
        self.mode = "ok"
        self.era = 1
        self.checkpoint = None
        self.omit_era = 0
        self.era_text = None
        self.call_counts = {}

    def put(self, key, value, lease=0):
        self.revision += 1
        create_revision = self.items.get(key, {}).get("create_revision",
                                                      self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "create_revision": create_revision, "lease": lease}
        self.items[key] = item
        self.record(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.record({"key": key, "revision": self.revision,
                         "deleted": True})

    def record(self, event):
        self.history.append(event)
        self.change_event.set()
        self.change_event = asyncio.Event()

    def expire_leases(self):
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

    def make_checkpoint(self):
        self.checkpoint = copy.deepcopy(
            (self.revision, self.items, self.history, self.compacted_revision,
             self.leases, self.next_lease))

    def restore(self):
        (self.revision, self.items, self.history, self.compacted_revision,
         self.leases, self.next_lease) = copy.deepcopy(self.checkpoint)
        now = time.monotonic()
        self.leases = {n: (ttl_ms, now + ttl_ms / 1000)
                       for n, (ttl_ms, _) in self.leases.items()}
        self.era += 1
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def watch(self, prefix, after, wait_ms):
        """Returns None if a restore cuts the watch."""
        deadline = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            if self.era != era:
                return None
            if after < self.compacted_revision or after > self.revision:
                return wire.json_response(410, {})
            events = [e for e in self.history if e["revision"] > after and
                      e["key"].startswith(prefix)]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return wire.json_response(200, {
                    "events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.change_event.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def read_range(self, prefix, after):
        keys = sorted((k for k in self.items if k.startswith(prefix)
                       and key_bytes(k) > key_bytes(after)), key=key_bytes)
        return wire.json_response(200, {
            "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
            "more_pages": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision})

    def run_transaction(self, request):
        mismatches = [
            condition for condition in request.get("expected", [])
            if self.items.get(condition["key"], {}).get("revision", 0)
            != condition["revision"]]
        if mismatches:
            return wire.json_response(412, {"items": []})
        for write in request.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return wire.json_response(404, {})
        for write in request.get("writes", []):
            self.put(write["key"], write["value"], write.get("lease", 0))
        for key in request.get("remove", []):
            self.remove(key)
        return wire.json_response(200, {"revision": self.revision})

    def grant_lease(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms,
                                        time.monotonic() + ttl_ms / 1000)
        return wire.json_response(200, {"lease": self.next_lease,
                                        "ttl_ms": ttl_ms})

    def renew_lease(self, lease):
        if lease not in self.leases:
            return wire.json_response(404, {})
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return wire.json_response(200, {"ttl_ms": ttl_ms})

    async def dispatch(self, request):
        path, query = request.path, request.query
        name = path.split("/")[2] if path.count("/") >= 2 else path
        self.call_counts[name] = self.call_counts.get(name, 0) + 1
        if path == "/v1/kv-range":
            return self.read_range(query["path_prefix"],
                                   query.get("after", ""))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return wire.json_response(200 if item else 404, item or {})
        if path == "/v1/kv-watch":
            return await self.watch(query["path_prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return self.run_transaction(request.json())
        if path == "/v1/kv-lease":
            return self.grant_lease(request.json()["ttl_ms"])
        if path.startswith("/v1/kv-keep/"):
            return self.renew_lease(int(path.rsplit("/", 1)[1]))
        if path.startswith("/v1/kv-lease-end/"):
            ok = self.end_lease(int(path.rsplit("/", 1)[1]))
            return wire.json_response(200 if ok else 404, {})
        return wire.json_response(404, {})

    def handle_operator(self, request):
        command = request.json()
        if command.get("remove"):
            self.remove(command["key"])
        elif "bytes" in command:
            self.put(command["key"], command["bytes"])
        else:
            text = json.dumps(command["value"]).encode()
            self.put(command["key"], base64.b64encode(text).decode())
        return wire.json_response(200, {"revision": self.revision})

    def handle_fault(self, request):
        command = request.json()
        self.mode = command.get("mode", self.mode)
        if command.get("compact"):
            self.history.clear()
            self.compacted_revision = self.revision + 1
            self.revision += 1
            self.change_event.set()
            self.change_event = asyncio.Event()
        if command.get("checkpoint"):
            self.make_checkpoint()
        if command.get("restore"):
            self.restore()
        self.omit_era = command.get("omit_era", self.omit_era)
        self.era_text = command.get("era_text", self.era_text)
        return wire.json_response(200, {})

    def add_era(self, response):
        if self.omit_era > 0:
            self.omit_era -= 1
            return response
        status, rest = response.split(b"\r\n", 1)
        era = self.era if self.era_text is None else self.era_text
        return status + f"\r\nStore-Era: {era}\r\n".encode() + rest

    async def handle(self, request, reader, writer):
        if request.path == "/operator":
            response = self.handle_operator(request)
        elif request.path == "/faults":
            response = self.handle_fault(request)
        elif request.path == "/stats":
            response = wire.json_response(200, self.call_counts)
        elif self.mode == "busy":
            response = wire.json_response(503, {})
        elif self.mode == "reset":
            return False
        elif self.mode == "silent":
            await asyncio.sleep(3600)
            return False
        else:
            response = await self.dispatch(request)
            if self.mode == "lost" and request.method != "GET":
                await asyncio.sleep(3600)
            if self.mode != "ok" or response is None:
                return False
        response = response.replace(b"\\udcff", b"\xff     ")
        if request.path not in ("/faults", "/stats"):
            response = self.add_era(response)
        writer.write(response)
        await writer.drain()
        return True


async def main():
    store = Store()
    _, port = await wire.listen(store.handle, sys.argv[1])
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        store.expire_leases()
        try:
            await asyncio.wait_for(stop.wait(), 0.1)
        except asyncio.TimeoutError:
            pass


asyncio.run(main())
