#!/usr/bin/env python3
"""Randomized soak of the routed mode: real daemons and stand-ins as separate
processes, faults from outside, promises checked from what callers and servers
see.

usage: soak.py [--seed N] [--seconds N] [--keep]

The same seed gives the same series of faults. It ends with one line and status
0 if no promise was broken. Logs stay with --keep or after a broken promise.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from proxy import Proxy

TOP = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
STANDINS = os.path.join(TOP, "standins", "routed")
DAEMONS = 4
CLIENTS = 12
EVENTS = 8  # of each stream of the stand-in
REVOKE_S = 5.0
PROMISES = (408, 421, 429, 503)
NAME = "Goldcrestfield-"


def free_port():
    """A port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(10000, 20000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Soak:
    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.folder = folder
        self.processes = {}
        self.started = []  # all of them, to end each by its id
        self.restarting = set()  # daemons
        self.broken = []
        self.booked = set()  # ids of non-idempotent requests
        self.refused = set()  # of these, ids that were promised not to have run
        self.counts = {}
        self.version = 0
        self.n_servers = 0
        self.servers = {}  # id: (service, proxy)
        self.daemons = {}
        self.keys = {"key-1": None, "key-2": None}  # key: when revoked
        self.stop = False

    def path(self, name):
        return os.path.join(self.folder, name)

    def fail(self, text):
        self.broken.append(text)

    async def run(self, name, args):
        with open(self.path(name + ".log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *args, cwd=self.folder, stdout=log, stderr=log,
                env=dict(os.environ, PYTHONDONTWRITEBYTECODE="1"))
        self.started.append(self.processes[name])

    async def port_of(self, name):
        for _ in range(200):
            try:
                with open(self.path(name + ".ports"), encoding="ascii") as f:
                    if text := f.read().strip():
                        return int(text)
            except FileNotFoundError:
                pass
            await asyncio.sleep(0.05)
        raise SystemExit(f"{name} did not start")

    async def start(self):
        await self.run("store", [sys.executable,
                                 f"{STANDINS}/standin_store.py",
                                 "store.ports"])
        self.store = await self.port_of("store")
        await self.put_config()
        for zone in "ab":
            for service in "app", "llm", "llm":
                await self.start_server(service, zone)
        for i in range(DAEMONS):
            await self.start_daemon(f"d{i}", "ab"[i % 2])
        await asyncio.sleep(1.5)

    async def post(self, path, value):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.store)
        body = json.dumps(value).encode()
        writer.write(f"POST {path} HTTP/1.1\r\nHost: s\r\nContent-Length: "
                     f"{len(body)}\r\n\r\n".encode() + body)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def put_config(self):
        self.version += 1

        def route(name, kind, service, **more):
            return dict(name=name, host="h.example", path_prefix=f"/{name}/",
                        kind=kind, service=service, max_attempts=3, **more)
        keys = [key for key, at in self.keys.items() if at is None]
        await self.post("/operator", {"key": "op/config", "value": {
            "version": self.version, "routes": [
                route("look", "idempotent", "app", timeout_ms=2000,
                      target_latency_ms=500),
                route("book", "non_idempotent", "app", timeout_ms=2000,
                      target_latency_ms=500),
                route("draft", "streaming", "llm", timeout_ms=9000,
                      target_latency_ms=2000, target_gap_ms=700,
                      resumable=True)],
            "services": [{"name": "app"},
                         {"name": "llm", "engine": {"backups": True}}],
            "tenants": [{"name": "north", "api_keys": keys}]}})

    async def start_server(self, service, zone):
        self.n_servers += 1
        name = f"{service}{self.n_servers}"
        await self.run(name, [
            sys.executable, f"{STANDINS}/standin_server.py", f"{name}.ports",
            name, service, zone, f"http://127.0.0.1:{self.store}"] +
            (["engine"] if service == "llm" else []))
        proxy = await Proxy(await self.port_of(name)).start()
        self.servers[name] = (service, zone, proxy)
        await self.post("/operator", {"key": f"servers/{name}", "value": {
            "service": service, "zone": zone, "slots": 8, "state": "ready",
            "address": f"127.0.0.1:{proxy.port}",
            "born": int(time.time() * 1000)}})

    async def start_daemon(self, name, zone):
        if name not in self.daemons:
            ports = [free_port() for _ in range(3)]
            self.daemons[name] = (
                zone, ports, await Proxy(self.store).start(),
                await Proxy(ports[0]).start())
        _, ports, store, _ = self.daemons[name]
        with open(self.path(name + ".json"), "w", encoding="ascii") as f:
            json.dump({
                "mode": "routed", "instance": name, "failure_domain": zone,
                "caller": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
                "addresses": "127.0.0.1:0", "peer": f"127.0.0.1:{ports[2]}",
                "store": f"127.0.0.1:{store.port}", "stop_grace_s": 3}, f)
        await self.run(name, [f"{TOP}/goldcrestd/goldcrestd", "-f",
                              name + ".json"])

    def send_signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    async def fault(self):
        """One fault and its end; several run at the same time."""
        kind = self.random.choice([
            "kill server", "kill daemon", "stop daemon", "pause daemon",
            "proxy server", "proxy store", "proxy caller", "store", "config",
            "revoke"])
        daemon = self.random.choice(sorted(self.daemons))
        zone, _, store, front = self.daemons[daemon]
        server = self.random.choice(sorted(self.servers))
        mode = self.random.choice(["slow", "silent", "one-way", "reset"])
        for_s = self.random.uniform(0.3, 3.0)
        if kind == "kill server":
            service, server_zone, _ = self.servers.pop(server)
            self.send_signal(server, signal.SIGKILL)
            await self.start_server(service, server_zone)
            await asyncio.sleep(1.2)
            await self.post("/operator", {"key": f"servers/{server}",
                                          "remove": True})
        elif kind in ("kill daemon", "stop daemon"):
            self.send_signal(daemon, signal.SIGKILL if kind == "kill daemon"
                             else signal.SIGTERM)
            # Several signals may hit one process, which is replaced once.
            if daemon not in self.restarting:
                self.restarting.add(daemon)
                await self.processes[daemon].wait()
                await self.start_daemon(daemon, zone)
                self.restarting.discard(daemon)
        elif kind == "pause daemon":
            self.send_signal(daemon, signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self.send_signal(daemon, signal.SIGCONT)
        elif kind == "store":
            await self.post("/faults", {"mode": self.random.choice(
                ["busy", "reset", "silent", "lost"]), "compact": True})
            await asyncio.sleep(for_s)
            await self.post("/faults", {"mode": "ok"})
        elif kind == "config":
            await self.put_config()
        elif kind == "revoke" and self.keys["key-2"] is None:
            self.keys["key-2"] = float("inf")
            await self.put_config()
            self.keys["key-2"] = time.monotonic()
        else:
            proxy = {"proxy server": self.servers[server][2],
                     "proxy store": store}.get(kind, front)
            proxy.set(mode)
            await asyncio.sleep(for_s)
            proxy.set("ok")

    async def faults(self, seconds):
        running = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            running.add(asyncio.ensure_future(self.fault()))
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
        await asyncio.gather(*running)

    async def client(self, number):
        choose = random.Random(number)
        n = 0
        while not self.stop:
            n += 1
            route = choose.choice(["look", "book", "draft"])
            key = choose.choice(["key-1", "key-1", "key-2"])
            daemon = choose.choice(sorted(self.daemons))
            try:
                await asyncio.wait_for(self.ask(
                    route, f"c{number}-{n}", key,
                    self.daemons[daemon][3].port), 12)
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                self.count("no answer")
            await asyncio.sleep(0.05)

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def ask(self, route, run_id, key, port):
        sent = time.monotonic()
        if route == "book":
            self.booked.add(run_id)
        body = f"body of {run_id}".encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write((
                f"POST /{route}/ok HTTP/1.1\r\nHost: h.example\r\n"
                f"{NAME}Request-Id: {run_id}\r\n{NAME}Deadline-Ms: 9000\r\n"
                f"Authorization: Token {key}\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split(" ")[1])
            data = await reader.read(-1)
        finally:
            writer.close()
        self.count(str(status))
        self.check(route, run_id, key, sent, status, head, data)

    def check(self, route, run_id, key, sent, status, head, data):
        if status in PROMISES and route == "book":
            self.refused.add(run_id)
        if status != 200:
            return
        revoked = self.keys[key]
        if revoked is not None and sent > revoked + REVOKE_S:
            self.fail(f"{run_id}: served with a key that was revoked "
                      f"{sent - revoked:.1f} s before")
        if f"{NAME}Response-Seal: " not in head:
            self.fail(f"{run_id}: a success without the server's MAC")
        if f"{NAME}Request-Id: {run_id}\r\n" not in head:
            self.fail(f"{run_id}: an answer to another request")
        if route == "draft":
            self.check_stream(run_id, data)
        elif json.loads(data)["body"] != f"body of {run_id}":
            self.fail(f"{run_id}: the answer is not to its body")

    def check_stream(self, run_id, data):
        text = data.decode()
        ids = [int(line[4:]) for line in text.splitlines()
               if line.startswith("id: ")]
        if ids != list(range(1, len(ids) + 1)):
            self.fail(f"{run_id}: events {ids}")
        if text.endswith("\r\n0\r\n\r\n"):
            self.count("whole streams")
            if len(ids) != EVENTS:
                self.fail(f"{run_id}: whole with {len(ids)} events")

    def check_runs(self):
        """What the servers ran, also those that were killed."""
        runs = {}
        with open(self.path("runs.log"), encoding="ascii") as f:
            for line in f:
                run_id, service = line.split()
                if service == "app":
                    runs.setdefault(run_id, []).append(line)
        for run_id in self.booked & set(runs):
            if len(runs[run_id]) > 1:
                self.fail(f"{run_id}: a booking ran {len(runs[run_id])} times")
        for run_id in self.refused & set(runs):
            self.fail(f"{run_id}: refused as not run, but ran")

    async def main(self, seconds):
        await self.start()
        clients = [asyncio.ensure_future(self.client(i))
                   for i in range(CLIENTS)]
        await self.faults(seconds)
        await asyncio.sleep(4)
        before = self.counts.get("200", 0)
        await asyncio.sleep(2)
        if self.counts.get("200", 0) == before:
            self.fail("nothing is served after the last fault")
        self.stop = True
        await asyncio.gather(*clients)
        self.check_runs()

    async def end(self):
        for process in self.started:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


async def run(args):
    folder = tempfile.mkdtemp(prefix="goldcrest-soak-")
    soak = Soak(args.seed, folder)
    try:
        await soak.main(args.seconds)
    except Exception as error:  # of the soak itself; told, then the end
        soak.fail(f"the soak failed: {error!r}")
    finally:
        await soak.end()
    for text in soak.broken:
        print(text)
    if soak.broken or args.keep:
        print("logs:", folder)
    else:
        shutil.rmtree(folder)
    if args.verbose:
        print(dict(sorted(soak.counts.items())))
    print(f"seed {args.seed}: {len(soak.broken)} promises broken")
    sys.stdout.flush()
    # Clients may still wait for daemons that are gone.
    os._exit(1 if soak.broken else 0)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    asyncio.run(run(parser.parse_args()))


main()
