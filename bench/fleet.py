"""Starts stand-ins and daemons on free ports of the loopback interface.

Used by the demo, the benchmarks and the fault tests; kills processes only by
the ids of those that it started. Run as a script, it keeps a small fleet
running until it is interrupted.
"""

import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DOMAINS = ["a", "b", "c"]
OPERATOR_KEY = "operator-key"
ACCOUNT_KEYS = {"lone-star": "lone-star-key", "cyflogres": "cyflogres-key"}
START_TIMEOUT_S = 10


# Ports in use by fleets of this process: port -> socket that reserves it.
_reservations = {}
_reservations_lock = threading.Lock()


def free_ports(count):
    """Returns and reserves TCP ports below the ephemeral range of the kernel.

    From that range, an outgoing connection could take the port of a killed
    daemon before it is restarted. A UDP socket bound to the same port until
    release_ports keeps other fleets on the machine from choosing it.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(("127.0.0.1", port))
            with socket.socket() as s:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                s.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        with _reservations_lock:
            _reservations[port] = reservation
        ports.append(port)
    return ports


def release_ports(ports):
    with _reservations_lock:
        for port in ports:
            reservation = _reservations.pop(port, None)
            if reservation:
                reservation.close()


def http_request(method, url, body=None, headers=None, timeout=5):
    """Sends body as JSON; returns (status, parsed JSON or text)."""
    data = None if body is None else json.dumps(body).encode()
    req = urllib.request.Request(url, data=data, method=method)
    for name, value in (headers or {}).items():
        req.add_header(name, value)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as err:
        status, text = err.code, err.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_for(name, condition, timeout=START_TIMEOUT_S):
    """Polls until condition() is true; an OSError counts as false."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{name}: not ready within {timeout} s")


class Fleet:
    """A platform, engines, plain backend servers and daemons.

    Processes are named; ports and processes are looked up by the name. A
    daemon's operator and peer ports are NAME.operator and NAME.peer.
    """

    def __init__(self, daemon_settings=None, keep_logs=False):
        self.keep_logs = keep_logs
        self.dir = tempfile.mkdtemp(prefix="goldcrest-")
        self.processes = {}
        self.ports = {}
        self.daemon_settings = daemon_settings or {}
        self.fleet_key = secrets.token_hex(32)

    def __enter__(self):
        return self

    def __exit__(self, exc_type, *_):
        self.stop()
        # Keep the logs if the run failed.
        if exc_type is None and not self.keep_logs:
            shutil.rmtree(self.dir)

    def spawn(self, name, program, args):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(ROOT, program)] + args,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def url(self, name):
        return f"http://127.0.0.1:{self.ports[name]}"

    def start_standin(self, name, kind, args):
        port = free_ports(1)[0]
        self.ports[name] = port
        self.spawn(name, f"standins/{kind}/standin-{kind}",
                   ["--name", name, "--address", "127.0.0.1",
                    "--port", str(port)] + args)
        wait_for(name, lambda: socket.create_connection(
            ("127.0.0.1", port), timeout=1).close() is None)
        # The connection may have reached another program at the port.
        if self.processes[name].poll() is not None:
            raise RuntimeError(f"{name}: exited at startup; see its log")

    def register(self, name, service, labels, state="live"):
        entry = {"ID": name, "Name": service, "Address": "127.0.0.1",
                 "Port": self.ports[name],
                 "Meta": dict(labels, state=state)}
        status, text = http_request(
            "PUT", self.url("platform") + "/v1/agent/service/register", entry)
        if status != 200:
            raise RuntimeError(
                f"registration of {name} failed: {status} {text}")

    def start_platform(self, args=()):
        self.start_standin("platform", "platform", list(args))

    def start_engine(self, index, args=(), labels=None):
        name = f"engine-{index}"
        self.start_standin(name, "engine", list(args))
        self.register(name, "engine", {
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "kind": "engine", **(labels or {})})
        return name

    def start_backend(self, index, args=()):
        name = f"backend-{index}"
        self.start_standin(name, "backend", list(args))
        self.register(name, "service", {
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "kind": "service"})
        return name

    def start_daemons(self, count):
        names = [f"entry-{i}" for i in range(count)]
        ports = free_ports(3 * count)
        peers = {n: ports[3 * i + 2] for i, n in enumerate(names)}
        for i, name in enumerate(names):
            self.ports[name] = ports[3 * i]
            self.ports[name + ".operator"] = ports[3 * i + 1]
            self.ports[name + ".peer"] = peers[name]
            settings = {
                "instance": name,
                "failure_domain": DOMAINS[i % len(DOMAINS)],
                "caller": {"address": "127.0.0.1", "port": ports[3 * i]},
                "operator": {"address": "127.0.0.1",
                             "port": ports[3 * i + 1]},
                "peer": {"address": "127.0.0.1", "port": peers[name]},
                "seed_peers": [f"tcp://127.0.0.1:{p}"
                               for n, p in peers.items() if n != name][:4],
                "platform_url": self.url("platform"),
                "fleet_key": self.fleet_key,
                "operator_keys": [OPERATOR_KEY],
                **self.daemon_settings,
            }
            with open(os.path.join(self.dir, name + ".json"), "w") as f:
                json.dump(settings, f)
            self.start_daemon(name)
        for name in names:
            wait_for(name, lambda n=name: http_request(
                "GET", self.url(n) + "/v1/addresses")[0] == 200)
        return names

    def start_daemon(self, name):
        self.spawn(name, "goldcrestd/goldcrestd",
                   ["-f", os.path.join(self.dir, name + ".json")])

    def operator_request(self, method, name, path, body=None, version=None):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        if version is not None:
            headers["If-Match"] = str(version)
        return http_request(method, self.url(name + ".operator") + path, body,
                            headers)

    def apply_config(self, daemon, patch, version=0):
        """Applies a change to this version; returns the new version.

        Retries a rejected change for START_TIMEOUT_S.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            status, doc = self.operator_request("PATCH", daemon, "/v1/config",
                                                patch, version)
            if status == 200:
                return doc["version"]
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"configuration change rejected: {status} {doc}")
            time.sleep(0.2)

    def wait_config_in_effect(self, daemons, version):
        def in_effect_everywhere():
            for name in daemons:
                _, doc = self.operator_request("GET", name, "/v1/status")
                if doc["version"] < version or not doc["in_effect"]:
                    return False
            return True
        wait_for(f"version {version}", in_effect_everywhere)

    def send_signal(self, name, sig=signal.SIGKILL):
        """Sends a signal; returns its time in ms since the epoch.

        Waits for the process to exit after SIGKILL and SIGTERM.
        """
        at = int(time.time() * 1000)
        self.processes[name].send_signal(sig)
        if sig in (signal.SIGKILL, signal.SIGTERM):
            self.processes[name].wait(timeout=60)
        return at

    def start_load(self, daemons, account, args):
        """Starts gcload; read_report() waits for it and returns its report."""
        urls = [arg for n in daemons for arg in ("--url", self.url(n))]
        return subprocess.Popen(
            [os.path.join(ROOT, "bench/gcload"), *urls,
             "--key", ACCOUNT_KEYS[account], *args],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        release_ports(self.ports.values())


def read_report(process, timeout):
    """Waits for gcload; returns its report."""
    try:
        out, _ = process.communicate(timeout=timeout)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        raise
    return json.loads(out)


def sha256(text):
    import hashlib
    return hashlib.sha256(text.encode()).hexdigest()


def two_account_config(policy_a="latency", policy_b="economy"):
    """Returns a configuration of two accounts, a model and a plain service."""
    return {
        "pools": {
            "engines": {"kind": "engine",
                        "selector": {"match": {"kind": "engine"}}},
            "services": {"kind": "service",
                         "selector": {"match": {"kind": "service"}}}},
        "models": {"draft": {"version": "1", "pool": "engines"}},
        "services": {"bookings": {"pool": "services",
                                  "status_path": "/status/{key}",
                                  "checks_fencing": False}},
        "accounts": {
            "lone-star": {"key_sha256": sha256(ACCOUNT_KEYS["lone-star"]),
                          "weight": 1, "policy": policy_a},
            "cyflogres": {"key_sha256": sha256(ACCOUNT_KEYS["cyflogres"]),
                          "weight": 1, "policy": policy_b}},
    }


def run_until_interrupted():
    """Runs a small fleet; prints its addresses and keys as shell exports."""
    with Fleet() as system:
        system.start_platform()
        for i in range(5):
            system.start_engine(i, ["--slots", "8", "--token-ms", "20"])
        system.start_backend(0)
        daemons = system.start_daemons(3)
        version = system.apply_config(daemons[0], two_account_config())
        system.wait_config_in_effect(daemons, version)
        for i, name in enumerate(daemons):
            print(f"export CALLER_{i}={system.url(name)} "
                  f"OPERATOR_{i}={system.url(name + '.operator')}")
        print(f"export KEY={ACCOUNT_KEYS['lone-star']} "
              f"GOLDCREST_OPERATOR_KEY={OPERATOR_KEY}")
        print(f"# logs and settings: {system.dir}; stop with Ctrl-C",
              flush=True)
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    run_until_interrupted()
