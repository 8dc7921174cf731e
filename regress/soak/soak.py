#!/usr/bin/env python3
"""Randomized soak test of the routed mode.

Runs daemons and stand-ins as separate processes, injects faults into the
processes, their connections and the store, and checks the guarantees of the
routed mode by what callers and servers observe.

usage: soak.py [--seed N] [--seconds N] [--modes MODE,...]
               [--old COMMIT,... [--builds DIR]] [--keep] [--verbose]

The same seed and modes give the same series of faults. Prints the violations
and their number; the exit status is 0 if there was none. Logs are kept with
--keep or after a violation; faults.log has the times of the faults, and how many
servers of lookups took connections. Modes add faults:
  crash     a request that ends each server that runs it comes at all daemons
  restore   the store goes back to a copy; the operator and servers write again
  leaving   servers say that they leave, go on for a while, and end
  busy      servers refuse with a time to come back
  unframed  responses end with their connection, some inside an event
  silent    servers send nothing for a second
  limits    servers limit their requests a second for a while
  brittle   servers have room for few requests and fall over for a while
  cutoff    some daemons reach no server, or none of a service, for a while
  links     servers send and acknowledge nothing for a second
  versions  engines have two software versions, and callers take up streams that
            broke off
  planned   only changes of the configuration (of 1,400 more routes with a third of
            the seeds), SIGHUP and SIGTERM, and the faults of the other modes
  rollout   operators move services to good and bad software versions
  share     each daemon is held to a small share of a processor
  upgrade   the daemons start with the builds of --old, which are made or found in
            --builds (default: with the logs), and are replaced one after the
            other; the upgrade may halt or be taken back

Violations of requests that went to older builds start with "old build"; the last
line counts them in parentheses too.
"""

import argparse
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

import cut_off
import losses
import rollouts
from proxy import Proxy
from upgrade import Upgrade

TOP = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.append(os.path.join(TOP, "regress"))

from free_port import free_port

STANDINS = os.path.join(TOP, "standins", "routed")
DAEMONS = 4
CLIENTS = 12
EVENTS_PER_STREAM = 8  # as sent by the stand-in server
# Behaviours of servers that clients ask for in a mode, by route.
BEHAVIOURS = {
    "busy": {"look": ["busy"], "book": ["busy"], "draft": ["busy"]},
    "unframed": {"look": ["unframed"], "draft": ["plain", "plaincut", "empty"]},
    "silent": {"look": ["pause"], "book": ["pause"], "draft": ["pause"]}}
MODES = ["crash", "restore", "leaving", "limits", "brittle", "versions",
         "cutoff", "links", "planned", "share", "upgrade", "rollout",
         *BEHAVIOURS]
# Faults that every seed may have; those of the mode "planned".
FAULTS = ["kill server", "kill daemon", "stop daemon", "pause daemon",
          "proxy server", "proxy store", "proxy caller", "store", "config",
          "revoke"]
PLANNED_FAULTS = ["config", "changes", "changes", "hup daemon", "stop daemon"]
MORE_ROUTES = 1400
SHARE = 0.04  # of a processor, for each daemon
MAX_RESUMES = 3  # of one stream
CRASH_INTERVAL_S = 0.5
# Each daemon counts at least its own crashes while the store is away.
MAX_CRASHES = 3 * DAEMONS
REVOKE_LIMIT_S = 5.0  # a revoked key is refused after this time
# Responses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
HEADER_PREFIX = "Goldcrestfield-"


def last_event_id(data):
    """Of the complete events; 0 if there is none."""
    ids = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", data)
    return int(ids[-1]) if ids else 0


def versions_of(data):
    return set(re.findall(rb"token \d+ (\S+)", data))


class Soak:
    """The processes of a soak test, its counters and its violations."""

    def __init__(self, seed, modes, directory, old, builds):
        self.random = random.Random(seed)
        self.modes = modes
        self.directory = directory
        self.processes = {}
        self.all_processes = []  # also replaced ones, to kill each by its id
        self.restarting = set()  # names of daemons
        self.violations = []
        self.booked = set()  # ids of non-idempotent requests
        # Ids of those with a response of NOT_EXECUTED_STATUSES.
        self.reported_not_executed = set()
        self.counts = {}
        self.version = 0
        self.n_servers_started = 0
        self.start_times = {}  # of servers, in ms, as they reported last
        self.servers = {}  # name -> (service, zone, proxy)
        self.versions = {}  # of the software, by name of the server
        # Name -> (zone, ports, proxy to the store, proxy of callers).
        self.daemons = {}
        # API key -> time of its revocation.
        self.keys = {"key-1": None, "key-2": None}
        self.upgrade = Upgrade(self, seed, old, builds or self.path("builds"))
        self.cut_off_check = cut_off.CutOffCheck(self.daemons, self.upgrade)
        self.losses = losses.LossCheck(self)
        self.rollouts = rollouts.RolloutCheck(self, seed)
        self.n_more_routes = (MORE_ROUTES if "planned" in modes and
                              seed % 3 == 0 else 0)
        # Of all servers that were started: (service, proxy).
        self.server_proxies = []
        self.proxies_by_name = {}
        # Source addresses of the cut, how (see cut.py), and its services.
        self.cut = ([], "", ())
        # Held by a fault of links, as two on one socket would end each other.
        self.links = asyncio.Lock()
        # Cleared while faults of daemons and the store wait for a calm cut.
        self.disturb = asyncio.Event()
        self.disturb.set()
        self.stop = False

    def path(self, name):
        return os.path.join(self.directory, name)

    def add_violation(self, text):
        self.violations.append(text)

    async def spawn(self, name, args):
        with open(self.path(name + ".log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *args, cwd=self.directory, stdout=log, stderr=log,
                env=dict(os.environ, PYTHONDONTWRITEBYTECODE="1"))
        self.all_processes.append(self.processes[name])

    async def port_of(self, name):
        for _ in range(200):
            try:
                with open(self.path(name + ".ports"), encoding="ascii") as f:
                    if text := f.read().strip():
                        return int(text)
            except FileNotFoundError:
                pass
            await asyncio.sleep(0.05)
        raise SystemExit(f"{name}: no port within 10 s")

    async def start(self):
        await self.spawn("store", [sys.executable,
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

    async def post_to_store(self, path, value):
        await self.post(self.store, path, value)

    async def post_to_server(self, proxy, path, value):
        try:
            await self.post(proxy.target_port, path, value)
        except (OSError, asyncio.IncompleteReadError):
            pass  # it crashed or was killed

    @staticmethod
    async def post(port, path, value):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
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
        keys = [key for key, revoked_at in self.keys.items()
                if revoked_at is None]
        await self.post_to_store("/operator", {"key": "op/config", "value": {
            "version": self.version, "routes": [
                route("look", "idempotent", "app", timeout_ms=2000,
                      target_latency_ms=500),
                route("book", "non_idempotent", "app", timeout_ms=2000,
                      target_latency_ms=500),
                route("draft", "streaming", "llm", timeout_ms=9000,
                      target_latency_ms=2000, target_gap_ms=700,
                      resumable=True)] + [
                route(f"more{i}", "idempotent", "app", priority=1,
                      timeout_ms=1500 + (i == self.version % MORE_ROUTES))
                for i in range(self.n_more_routes)],
            "services": [{"name": "app"},
                         {"name": "llm", "engine": {"backups": True}}],
            "tenants": [{"name": "north", "api_keys": keys}]}})

    async def start_server(self, service, zone, version=None):
        self.n_servers_started += 1
        name = f"{service}{self.n_servers_started}"
        await self.spawn(name, [
            sys.executable, f"{STANDINS}/standin_server.py", f"{name}.ports",
            name, service, zone, f"http://127.0.0.1:{self.store}"] +
            (["engine", self.choose_version(name, version)]
             if service == "llm" else
             ["plain", self.choose_version(name, version)] if version else []))
        proxy = await Proxy(await self.port_of(name)).start()
        self.servers[name] = (service, zone, proxy)
        self.server_proxies.append((service, proxy))
        self.proxies_by_name[name] = proxy
        self.cut_links(service, proxy)
        await self.rollouts.configure(name)
        await self.register_server(name)

    def choose_version(self, name, version):
        # The series of faults of seeds without this mode must not change.
        self.versions[name] = version or (self.random.choice(["v1", "v2"])
                               if "versions" in self.modes else "v1")
        return self.versions[name]

    async def register_server(self, name, state="ready"):
        service, zone, proxy = self.servers[name]
        await self.post_to_store("/operator", {
            "key": f"servers/{name}", "value": {
                "service": service, "zone": zone, "slots": 8, "state": state,
                "address": f"127.0.0.1:{proxy.port}",
                "version": self.versions.get(name, "v1"),
                "born": await self.start_time_of(name, proxy)}})

    async def start_time_of(self, name, proxy):
        """What the server reports, as a report of another start shows a crash.

        One that doesn't answer, as it is down, registers itself when it is back.
        """
        try:
            report = await asyncio.wait_for(self.get_json(
                proxy.target_port, "/v1/report"), 0.5)
            self.start_times[name] = report["born"]
        except (OSError, EOFError, KeyError, asyncio.TimeoutError):
            pass
        return self.start_times.get(name, int(time.time() * 1000))

    @staticmethod
    async def get_json(port, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            return json.loads(await reader.readexactly(length))
        finally:
            writer.close()

    async def start_daemon(self, name, zone):
        if name not in self.daemons:
            ports = [free_port(os.getpid()) for _ in range(4)]
            self.daemons[name] = (
                zone, ports, await Proxy(self.store).start(),
                await Proxy(ports[0]).start())
        _, ports, store_proxy, _ = self.daemons[name]
        program, settings = self.upgrade.start(name, {
            "mode": "routed", "instance": name, "failure_domain": zone,
            "caller": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
            "addresses": "127.0.0.1:0", "peer": f"127.0.0.1:{ports[2]}",
            "forward": f"{self.forward_ip(name)}:{ports[3]}",
            "source": self.source_of(name),
            "store": f"127.0.0.1:{store_proxy.port}", "stop_grace_s": 3,
            **(rollouts.SETTINGS if self.rollouts.enabled else {})})
        with open(self.path(name + ".json"), "w", encoding="ascii") as f:
            json.dump(settings, f)
        await self.spawn(name, [program, "-f", name + ".json"])
        if "share" in self.modes:
            await self.spawn(f"share of {name}", [
                sys.executable, f"{TOP}/regress/small_share.py",
                str(self.processes[name].pid), str(SHARE), "60"])

    async def restart_daemon(self, name, number):
        self.send_signal(name, number)
        if number == signal.SIGTERM:
            self.losses.stops.append((name, time.monotonic()))
        # Concurrent faults may signal one process; restart it only once.
        if name not in self.restarting:
            self.restarting.add(name)
            await self.processes[name].wait()
            await self.start_daemon(name, self.daemons[name][0])
            self.restarting.discard(name)

    def forward_ip(self, daemon):
        """Builds before this one send to other daemons from 127.0.0.1."""
        return ("127.0.0.1" if "upgrade" in self.modes
                else self.source_of(daemon))

    @staticmethod
    def source_of(daemon):
        return f"127.0.0.1{daemon[1:]}"

    def cut_links(self, service, proxy):
        sources, how, services = self.cut
        if service in services:
            proxy.cut.set(sources, how)

    def set_cut(self, *cut):
        self.cut = cut
        self.log_fault(f"links cut: {cut}")
        for service, proxy in self.server_proxies:
            self.cut_links(service, proxy)

    async def cut_off_daemons(self):
        number = self.random.choices(range(1, DAEMONS + 1), [2, 2, 2, 1])[0]
        names = self.random.sample(sorted(self.daemons), number)
        how = self.random.choice(["reset", "hang", "refuse-new"])
        services = self.random.choice([("app", "llm"), ("app", "llm"),
                                       ("app",), ("llm",)])
        calm = self.random.choice([True, False])
        for_s = self.random.uniform(3.5 if calm else 0.3, 4.0)
        async with self.links:
            if calm:
                self.disturb.clear()
                await asyncio.sleep(cut_off.CALM_BEFORE_S)
            # Only connections of builds with a source address can be cut.
            names = [name for name in names
                     if self.upgrade.has(name, "source", time.monotonic())]
            cut = self.cut_off_check.begin_cut(names)
            self.set_cut([self.source_of(name) for name in names], how,
                         services)
            await asyncio.sleep(for_s)
            self.set_cut([], "", services)
            cut.finish()
            self.disturb.set()

    async def silence_links(self):
        number = self.random.choice([1, 1, 2, len(self.servers)])
        names = self.random.sample(sorted(self.servers), number)
        proxies = [self.servers[name][2] for name in names]
        for_s = self.random.uniform(1.0, 1.3)
        async with self.links:
            for proxy in proxies:
                proxy.set_mode("link")
            await asyncio.sleep(for_s)
            for proxy in proxies:
                proxy.set_mode("ok")

    def send_signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    async def inject_fault(self):
        """Injects a random fault and ends it; several run concurrently."""
        kind = self.random.choice(
            (PLANNED_FAULTS if "planned" in self.modes else FAULTS) +
            [mode for mode in self.modes
             if mode in ("restore", "leaving", "busy", "limits", "brittle",
                         "cutoff", "links")])
        daemon = self.random.choice(sorted(self.daemons))
        if kind == "revoke" and self.keys["key-2"] is not None:
            kind = "proxy caller"  # the key is revoked already
        if kind in cut_off.DAEMON_FAULTS + cut_off.STORE_FAULTS:
            await self.disturb.wait()
        disturbances = [check.begin_fault(kind, daemon)
                        for check in (self.cut_off_check, self.losses,
                                      self.rollouts)]
        self.log_fault(f"begin: {kind}, {daemon}")
        await self.run_fault(kind, daemon)
        self.log_fault(f"end: {kind}, {daemon}")
        for disturbance in disturbances:
            disturbance.finish()

    def log_fault(self, text):
        with open(self.path("faults.log"), "a", encoding="ascii") as f:
            f.write(f"{time.time():.3f} {text}\n")

    async def watch_servers(self):
        """Logs how many servers of lookups take connections."""
        n_before = -1
        while not self.stop:
            n = sum(await asyncio.gather(*(
                proxy.has_target() for service, proxy in self.server_proxies
                if service == "app")))
            if n != n_before:
                self.log_fault(f"servers of lookups: {n}")
            n_before = n
            await asyncio.sleep(0.05)

    async def run_fault(self, kind, daemon):
        _, _, store_proxy, caller_proxy = self.daemons[daemon]
        server = self.random.choice(sorted(self.servers))
        mode = self.random.choice(["slow", "silent", "one-way", "reset"])
        for_s = self.random.uniform(0.3, 3.0)
        if kind in ("kill server", "leaving"):
            service, server_zone, proxy = self.servers.pop(server)
            if kind == "leaving":
                await self.post_to_server(proxy, "/headers",
                                          {"Server-Leaving": "1"})
                await asyncio.sleep(for_s)
            self.send_signal(server, signal.SIGKILL)
            await self.start_server(service, server_zone,
                                    self.rollouts.replacement(service, server))
            await asyncio.sleep(1.2)
            await self.post_to_store("/operator", {"key": f"servers/{server}",
                                                   "remove": True})
        elif kind == "restore":
            await self.post_to_store("/faults", {"mode": "ok",
                                                 "checkpoint": True})
            await asyncio.sleep(for_s)
            await self.post_to_store("/faults", {"mode": "ok",
                                                 "restore": True})
            await self.put_config()
            await self.rollouts.write_orders()
            for name in sorted(self.servers):
                # Another fault may end it meanwhile.
                if name in self.servers:
                    await self.register_server(name)
        elif kind == "busy":
            await self.post_to_server(self.servers[server][2], "/busy",
                                      {"retry_after": f"{for_s / 2:.1f}"})
        elif kind == "limits":
            proxy = self.servers[server][2]
            limit = self.random.choice([0, 0.5, 5.2, 50])
            await self.post_to_server(proxy, "/headers",
                                      {"Server-Limit": str(limit)})
            await asyncio.sleep(for_s)
            await self.post_to_server(proxy, "/headers", {})
        elif kind == "brittle":
            proxy = self.servers[server][2]
            await self.post_to_server(proxy, "/slots", {
                "slots": 4, "work_ms": 60, "room": 16})
            await self.post_to_server(proxy, "/brittle", {
                "n": self.random.choice(["0", "2.5", "6"]), "after_ms": 300,
                "room": self.random.choice([0, 2])})
            await asyncio.sleep(for_s)
            await self.post_to_server(proxy, "/brittle", {})
            await self.post_to_server(proxy, "/slots", {
                "slots": 0, "work_ms": 0, "room": 0})
        elif kind == "cutoff":
            await self.cut_off_daemons()
        elif kind == "links":
            await self.silence_links()
        elif kind in ("kill daemon", "stop daemon"):
            await self.restart_daemon(daemon, signal.SIGKILL
                                      if kind == "kill daemon"
                                      else signal.SIGTERM)
        elif kind == "pause daemon":
            self.send_signal(daemon, signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self.send_signal(daemon, signal.SIGCONT)
        elif kind == "store":
            await self.post_to_store("/faults", {"mode": self.random.choice(
                ["busy", "reset", "silent", "lost"]), "compact": True})
            await asyncio.sleep(for_s)
            await self.post_to_store("/faults", {"mode": "ok"})
        elif kind == "config":
            await self.put_config()
        elif kind == "changes":
            for _ in range(10):
                await self.put_config()
                await asyncio.sleep(for_s / 10)
        elif kind == "hup daemon":
            self.send_signal(daemon, signal.SIGHUP)
        elif kind == "revoke":
            self.keys["key-2"] = float("inf")
            await self.put_config()
            self.keys["key-2"] = time.monotonic()
        else:
            proxy = {"proxy server": self.servers[server][2],
                     "proxy store": store_proxy}.get(kind, caller_proxy)
            proxy.set_mode(mode)
            await asyncio.sleep(for_s)
            proxy.set_mode("ok")

    async def inject_faults(self, seconds):
        running = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            running.add(asyncio.ensure_future(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
        await asyncio.gather(*running)

    async def run_client(self, number):
        rng = random.Random(number)
        n_requests = 0
        while not self.stop:
            n_requests += 1
            route, behaviour = self.choose_request(rng)
            key = rng.choice(["key-1", "key-1", "key-2"])
            daemon = rng.choice(sorted(self.daemons))
            try:
                await asyncio.wait_for(self.send_request(
                    route, behaviour, f"c{number}-{n_requests}", key,
                    self.daemons[daemon][3].port), 12)
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                self.count("no response")
            await asyncio.sleep(0.05)

    def choose_request(self, rng):
        route = rng.choice(["look", "book", "draft"])
        return route, rng.choice(["ok"] + [
            name for mode in self.modes
            for name in BEHAVIOURS.get(mode, {}).get(route, [])])

    def count(self, outcome):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    async def run_deadly_client(self):
        n_requests = 0
        while not self.stop:
            n_requests += 1
            daemon = self.random.choice(sorted(self.daemons))
            build = self.upgrade.builds[daemon]
            crashes_before = self.n_crashes()
            try:
                await asyncio.wait_for(self.send_request(
                    "look", "ok", f"deadly-{n_requests}", "key-1",
                    self.daemons[daemon][3].port, b"crash"), 12)
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                self.count("no response")
            await asyncio.sleep(CRASH_INTERVAL_S)
            self.upgrade.add_crashes(build, self.n_crashes() - crashes_before)

    def n_crashes(self):
        try:
            with open(self.path("crashes.log"), encoding="ascii") as f:
                return len(f.readlines())
        except FileNotFoundError:
            return 0

    async def send_request(self, route, behaviour, run_id, key, port,
                           body=None):
        """Sends the request, and takes up a stream that broke off."""
        data = await self.send_try(route, behaviour, run_id, key, port, body)
        last = last_event_id(data)
        versions = versions_of(data)
        resumes = self.rollouts.enabled or "versions" in self.modes
        for i in range(MAX_RESUMES if resumes else 0):
            if route != "draft" or not 0 < last < EVENTS_PER_STREAM:
                break
            daemon = self.random.choice(sorted(self.daemons))
            data = await self.send_try(
                route, "ok", f"{run_id}-{i}", key, self.daemons[daemon][3].port,
                None, f"Last-Event-Id: {last}\r\nResumes: {run_id}\r\n", last)
            last = max(last, last_event_id(data))
            versions |= versions_of(data)
        if len(versions) > 1:
            self.add_violation(f"{run_id}: stream joined of {versions}")

    async def send_try(self, route, behaviour, run_id, key, port, body=None,
                       headers="", last=0):
        """Returns the body of a response with status 200, else nothing."""
        sent_at = time.monotonic()
        self.upgrade.begin_try(run_id, port)
        if route == "book":
            self.booked.add(run_id)
        body = body or f"body of {run_id}".encode()
        a_try = losses.Try(self.losses, run_id, route, behaviour, port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(self.request_text(route, behaviour, run_id, key, body,
                                           f"Connection: close\r\n{headers}"))
            a_try.sent_at = time.monotonic()
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            a_try.begun = True
            status = int(head.split(" ")[1])
            data = await reader.read(-1)
            a_try.complete = losses.is_complete(head, data)
        except asyncio.CancelledError:
            a_try.gave_up = True
            raise
        finally:
            a_try.end = time.monotonic()
            writer.close()
        self.count(str(status))
        self.upgrade.end_try(run_id, versions_of(data))
        self.check_response(route, behaviour, run_id, key, sent_at, status,
                            head, data, last)
        return data if status == 200 else b""

    @staticmethod
    def request_text(route, behaviour, run_id, key, body, headers):
        return (f"POST /{route}/{behaviour} HTTP/1.1\r\n"
                f"Host: h.example\r\n"
                f"{HEADER_PREFIX}Request-Id: {run_id}\r\n"
                f"{HEADER_PREFIX}Deadline-Ms: {losses.DEADLINE_S * 1000}\r\n"
                f"Authorization: Token {key}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def check_response(self, route, behaviour, run_id, key, sent_at, status,
                       head, data, last):
        if status in NOT_EXECUTED_STATUSES and route == "book":
            self.reported_not_executed.add(run_id)
        if status != 200:
            return
        revoked_at = self.keys[key]
        if revoked_at is not None and sent_at > revoked_at + REVOKE_LIMIT_S:
            self.add_violation(f"{run_id}: served with a key revoked "
                               f"{sent_at - revoked_at:.1f} s earlier")
        if f"{HEADER_PREFIX}Response-Seal: " not in head:
            self.add_violation(
                f"{run_id}: status 200 without the server's MAC")
        if f"{HEADER_PREFIX}Request-Id: {run_id}\r\n" not in head:
            self.add_violation(f"{run_id}: response to another request")
        if route == "draft":
            self.check_stream(run_id, data, last)
        elif behaviour == "unframed":
            if data != b"unframed\n":
                self.add_violation(f"{run_id}: a part of a body as a whole")
        elif json.loads(data)["body"] != f"body of {run_id}":
            self.add_violation(f"{run_id}: response to another body")

    def check_stream(self, run_id, data, last):
        text = data.decode()
        ids = [int(line[4:]) for line in text.splitlines()
               if line.startswith("id: ")]
        if ids != list(range(last + 1, last + len(ids) + 1)):
            self.add_violation(f"{run_id}: wrong sequence of event ids: {ids}")
        if text.endswith("\r\n0\r\n\r\n"):
            self.count("whole streams")
            if last + len(ids) != EVENTS_PER_STREAM:
                self.add_violation(
                    f"{run_id}: stream ended after {len(ids)} events")

    def check_runs(self):
        """Checks what all servers, including killed ones, executed."""
        runs = {}
        self.run_ids = set()  # at any server
        with open(self.path("runs.log"), encoding="ascii") as f:
            for line in f:
                run_id, service = line.split()
                self.run_ids.add(run_id)
                if service == "app":
                    runs.setdefault(run_id, []).append(line)
        for run_id in self.booked & set(runs):
            if len(runs[run_id]) > 1:
                self.add_violation(
                    f"{run_id}: executed {len(runs[run_id])} times")
        for run_id in self.reported_not_executed & set(runs):
            self.add_violation(
                f"{run_id}: reported as not executed, but executed")

    async def main(self, seconds):
        await self.start()
        clients = [asyncio.ensure_future(self.run_client(i))
                   for i in range(CLIENTS + self.rollouts.enabled *
                                  rollouts.MORE_CLIENTS)]
        clients += self.losses.start_clients()
        if "crash" in self.modes:
            clients.append(asyncio.ensure_future(self.run_deadly_client()))
        if "cutoff" in self.modes:
            clients.append(asyncio.ensure_future(
                self.cut_off_check.run_lookups(self)))
            clients.append(asyncio.ensure_future(self.watch_servers()))
        await asyncio.gather(self.inject_faults(seconds), self.upgrade.run(),
                             self.rollouts.run(seconds))
        await asyncio.sleep(4)
        successes_before = self.counts.get("200", 0)
        crashes_before = self.n_crashes()
        by_old_before = self.upgrade.n_old_crashes
        await asyncio.sleep(2)
        n_crashes = self.counts["servers crashed"] = self.n_crashes()
        by_old = self.upgrade.n_old_crashes
        if self.are_too_many(n_crashes, crashes_before):
            text = (f"one request crashed {n_crashes} servers, "
                    f"{crashes_before} before the last 2 s")
            self.add_violation(
                text if self.are_too_many(n_crashes - by_old,
                                          crashes_before - by_old_before)
                else f"old build ({by_old} crashes): {text}")
        if self.counts.get("200", 0) == successes_before:
            self.add_violation("no request succeeds after the last fault")
        self.stop = True
        await asyncio.gather(*clients)
        self.check_runs()
        self.upgrade.check_daemons()
        self.violations += self.cut_off_check.violations()
        self.violations += self.rollouts.violations()
        # Crashes of servers and upgrades disturb at times that aren't known.
        if not {"crash", "upgrade"} & set(self.modes):
            self.violations += self.losses.violations(self.run_ids)
        self.counts["cuts checked"] = self.cut_off_check.n_checked

    @staticmethod
    def are_too_many(n_crashes, before):
        return n_crashes > MAX_CRASHES or n_crashes > max(3, before)

    async def end(self):
        for process in self.all_processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


async def run_soak(args):
    directory = tempfile.mkdtemp(prefix="goldcrest-soak-")
    soak = Soak(args.seed, args.modes, directory, args.old, args.builds)
    try:
        await soak.main(args.seconds)
    except Exception as error:  # of the soak test itself
        soak.add_violation(f"the soak test failed: {error!r}")
    finally:
        await soak.end()
    violations = [soak.upgrade.name_build(text) for text in soak.violations]
    n_old = sum(text.startswith("old build") for text in violations)
    for text in violations:
        print(text)
    if soak.violations or args.keep:
        print("logs:", directory)
    else:
        shutil.rmtree(directory)
    if args.verbose:
        print(dict(sorted(soak.counts.items())))
    print(f"seed {args.seed}: {len(violations)} violations" +
          (f" ({n_old} of old builds)" if n_old else ""))
    sys.stdout.flush()
    # Exit without waiting for client tasks whose daemons were killed.
    os._exit(1 if soak.violations else 0)


def parse_modes(text):
    modes = text.split(",")
    if set(modes) - set(MODES):
        raise argparse.ArgumentTypeError(f"modes: {', '.join(MODES)}")
    return modes


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--modes", default=[], type=parse_modes)
    parser.add_argument("--old", default=[], type=lambda t: t.split(","))
    parser.add_argument("--builds")
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    if ("upgrade" in args.modes) != bool(args.old):
        parser.error("the mode upgrade and --old need each other")
    asyncio.run(run_soak(args))


main()
