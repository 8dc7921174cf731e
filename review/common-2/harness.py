"""Runs a small deployment on loopback for the cases of the second review.

The daemons are target/goldcrestd with the command of deploy/system.toml and settings as
deploy/settings.json.in renders them for sites/bulkpickup-tx.toml. Store and servers are
the stand-ins of standins/routed, or those of a case. Each daemon has an address of its
own in 127.0.0.0/8. Everything that is written stands in a temporary folder, but for
record.txt in the folder of the case.
"""

import asyncio
import atexit
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STANDINS = os.path.join(TOP, "standins", "routed")
DAEMON = os.path.join(TOP, "target", "goldcrestd")
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of sites/bulkpickup-tx.toml.
CONFIG_APPLY_MS, REVOKE_MS, CONTACT_MS, GRACE_S = 2000, 5000, 3000, 8
MEMORY_MB = 96
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine",
             "stream", "tenants", "platform"]
SEAL = "Goldcrestfield-Response-Seal"


class CannotRun(Exception):
    """The case could not be brought about."""


class Case:
    def __init__(self, folder, trouble):
        self.folder = folder
        self.trouble = trouble
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.record_file = open(os.path.join(folder, "record.txt"), "w",
                                encoding="utf-8")
        self.began = time.monotonic()
        self.daemons = {}
        self.version = 0
        atexit.register(self.end)

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.record_file.write(f"{self.now():9.3f} s  {text}\n")
        self.record_file.flush()

    def path(self, name):
        return os.path.join(self.dir, name)

    def start(self, args, log, cwd=None):
        with open(self.path(log), "ab") as out:
            process = subprocess.Popen(args, stdout=out, stderr=out,
                                       stdin=subprocess.DEVNULL,
                                       cwd=cwd or self.dir,
                                       env={"PATH": os.environ["PATH"],
                                            "PYTHONDONTWRITEBYTECODE": "1"})
        self.processes.append(process)
        return process

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print(self.dir, file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def finish(self, problems):
        for problem in problems:
            self.record(f"BROKEN: {problem}")
        self.record("the rule was broken" if problems else "the rule held")
        print(f"{'broken' if problems else 'held'}"
              f"{': ' + problems[0] if problems else ''}")
        sys.exit(BROKEN if problems else HELD)

    # The store and the operator.

    async def start_store(self):
        process = self.start([sys.executable,
                              os.path.join(STANDINS, "standin_store.py"),
                              "store.ports"], "store.log")
        self.store_port = await self.port_in("store.ports", process)

    async def port_in(self, name, process):
        for _ in range(200):
            if os.path.exists(self.path(name)):
                with open(self.path(name), encoding="ascii") as f:
                    return int(f.read())
            if process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun(f"{name}: no port")

    async def post(self, path, value, port=None):
        return await self.call("POST", path, json.dumps(value).encode(),
                               port or self.store_port)

    async def call(self, method, path, body, port, host="127.0.0.1"):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        response = await read_response(reader)
        writer.close()
        return response

    async def operator(self, key, value):
        await self.post("/operator", {"key": key, "value": value})

    def config(self, keys, routes=()):
        self.version += 3
        return {
            "version": self.version,
            "routes": [
                {"name": "slot-lookup", "host": "h.example", "path_prefix": "/look/",
                 "kind": "idempotent", "service": "app", "max_attempts": 2,
                 "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2},
                {"name": "book-slot", "host": "h.example", "path_prefix": "/book/",
                 "kind": "non_idempotent", "service": "app", "max_attempts": 1,
                 "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2},
                {"name": "pickup-summary", "host": "h.example",
                 "path_prefix": "/draft/", "kind": "streaming", "service": "llm",
                 "resumable": True, "sticky": True, "max_attempts": 5,
                 "timeout_ms": 25000, "target_latency_ms": 4500,
                 "target_gap_ms": 700, "priority": 1}, *routes],
            "services": [
                {"name": "app", "health_path": "/healthz", "max_connections": 214},
                {"name": "llm", "health_path": "/healthz", "max_connections": 771,
                 "engine": {"backups": True}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "north", "api_keys": list(keys)}]}

    # Servers.

    async def start_server(self, name, service, zone, *more):
        process = self.start([sys.executable,
                              os.path.join(STANDINS, "standin_server.py"),
                              f"{name}.ports", name, service, zone,
                              f"http://127.0.0.1:{self.store_port}", *more],
                             f"{name}.log")
        port = await self.port_in(f"{name}.ports", process)
        return process, port

    async def stats(self, port):
        return json.loads((await self.call("GET", "/stats", b"", port)).body)

    # Daemons.

    async def start_daemon(self, number, zone, store=None, **more):
        """store: the port at which the daemon reaches the store."""
        ip = f"127.0.0.1{number}"
        name = f"front-{zone}-{number}"
        ports = {what: free_port(ip) for what in
                 ("caller", "ready", "addresses", "peer", "forward")}
        settings = {
            "mode": "routed", "instance": name, "failure_domain": zone,
            **{what: f"{ip}:{port}" for what, port in ports.items()},
            "store": f"127.0.0.1:{store or self.store_port}",
            "config_in_force_ms": CONFIG_APPLY_MS, "revoke_ms": REVOKE_MS,
            "revoke_strictly": True, "contact_ms": CONTACT_MS,
            "stop_grace_s": GRACE_S, "repeat_ratio": 0.8, "repeat_window_s": 10,
            "repeat_slack": 321, "memory_mb": MEMORY_MB, "contracts": CONTRACTS,
            **more}
        if os.environ.get("DEBUG"):
            settings["log_level"] = "debug"
        with open(self.path(f"{name}.json"), "w", encoding="ascii") as f:
            json.dump(settings, f)
        daemon = Daemon(self, name, ip, ports)
        daemon.launch()
        self.daemons[number] = daemon
        return daemon

    async def await_ready(self):
        for daemon in self.daemons.values():
            await daemon.await_ready()


class Daemon:
    def __init__(self, case, name, ip, ports):
        self.case, self.name, self.ip, self.ports = case, name, ip, ports
        self.process = None

    def launch(self):
        self.process = self.case.start(
            [DAEMON, "-f", self.case.path(f"{self.name}.json")],
            f"{self.name}.log", TOP)

    async def is_ready(self):
        try:
            response = await self.case.call("GET", "/v1/ready", b"",
                                            self.ports["ready"], self.ip)
        except (OSError, EOFError):
            return False
        return response.status == 200

    async def await_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")

    def kill(self):
        self.process.kill()
        self.process.wait()

    async def connect(self):
        return await asyncio.open_connection(self.ip, self.ports["caller"])

    async def send(self, path, request_id, key, deadline_ms=3000, headers="",
                   body=None, method=None):
        """One request on a channel of its own; None if the channel ends."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return None
        try:
            writer.write(request_text(path, request_id, key, deadline_ms, headers,
                                      body, method))
            return await asyncio.wait_for(read_response(reader),
                                          deadline_ms / 1000 + 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()


def request_text(path, request_id, key, deadline_ms=3000, headers="", body=None,
                 method=None):
    method = method or ("GET" if body is None else "POST")
    length = "" if body is None else f"Content-Length: {len(body)}\r\n"
    return (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Goldcrestfield-Request-Id: {request_id}\r\n"
            f"Authorization: Token {key}\r\n"
            f"Goldcrestfield-Deadline-Ms: {deadline_ms}\r\n"
            f"{headers}{length}\r\n").encode() + (body or b"")


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(lines[0].split(" ")[1]), headers


async def read_response(reader):
    """A whole response; EOFError if it ends early."""
    status, headers = await read_head(reader)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(await reader.readline(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read(-1)
    return Response(status, headers, body)


def free_port(ip):
    """Below the ports of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(20000, 32000)
        if (ip, port) in taken:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((ip, port))
            except OSError:
                continue
        taken.add((ip, port))
        return port
    raise CannotRun("no free port")


taken = set()


class Proxy:
    """Forwards connections to a port. Cut, it forwards nothing and answers nothing;
    what it has held is lost with the connections when the cut ends."""

    def __init__(self, port):
        self.target = port
        self.is_cut = False
        self.writers = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        if self.is_cut:
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1",
                                                                   self.target)
        except OSError:
            reset(writer)
            return
        await self.join(reader, writer, far_reader, far_writer)

    async def join(self, reader, writer, far_reader, far_writer):
        self.writers.add(far_writer)
        await asyncio.gather(self.copy(reader, far_writer),
                             self.copy(far_reader, writer))
        if not self.is_cut:
            self.writers -= {writer, far_writer}

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError):
            pass
        if not self.is_cut:
            writer.close()


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


def run(folder, scenario, trouble):
    """scenario(case) returns the list of what broke the rule.

    Without trouble, it leaves out the disruption.
    """
    if not os.access(DAEMON, os.X_OK):
        print("target/goldcrestd isn't built")
        sys.exit(NOT_RUN)
    case = Case(folder, trouble)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    async def limited():
        # Connections of proxies that are open at the end.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(scenario(case), 115)

    try:
        problems = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError, EOFError) as err:
        case.record(f"could not run: {err!r}")
        print(f"could not run: {err!r}")
        sys.exit(NOT_RUN)
    case.finish(problems)
