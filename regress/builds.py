#!/usr/bin/env python3
"""Records what a build of the daemon writes for other builds to read, and compares.

usage: builds.py record BINARY FILE
       builds.py missing OLD_FILE NEW_FILE
       builds.py read FILE PEER_URL STORE_URL

"record" runs the daemon BINARY (routed mode) beside stand-ins and a daemon that only
listens, lets it meet limits, crashes, two software versions and a cut, and writes to
FILE one JSON object a line: keys and values in the store, asks to other daemons and its
answers to the same asks, headers of requests that are passed on. "missing" prints the
members of messages in OLD_FILE that those of NEW_FILE lack or have with another type: an
older build would not understand them. "read" sends the recorded asks to a daemon and
puts the recorded entries into the store; prints how each ask was answered.
"""

import base64
import http.client
import http.server
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

from free_port import free_port

STANDINS = os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "standins", "routed")
SOURCE = "127.0.0.19"
HOST = "127.0.0.1"
START_S = 10
# Enough that the other daemon issues the permits and places of some of them.
N_APPS = 12
OTHER = "a0"  # goes before the daemon's own name, so that it is asked first


def fetch(url, body=None):
    try:
        with urllib.request.urlopen(url, body, timeout=5) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, http.client.HTTPException):
        return 0, b""


def wait_until(condition):
    end = time.monotonic() + START_S
    while not condition():
        if time.monotonic() > end:
            raise SystemExit(f"a process did not start within {START_S} s")
        time.sleep(0.05)


class Listener(http.server.BaseHTTPRequestHandler):
    """The other daemon: records what it is asked, and answers nothing."""
    asks = []
    hops = []
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        hop = {name.lower(): value for name, value in self.headers.items()
               if name.lower().startswith("goldcrest-hop")}
        if hop:
            self.hops.append(hop)
        else:
            self.asks.append(self.path)
        self.send_response(503 if hop else 404)
        self.send_header("Content-Length", "0")
        for name in ("Goldcrestfield-Request-Id",):
            if name in self.headers:
                self.send_header(name, self.headers[name])
        if hop:
            self.send_header("Goldcrest-Hop-Result", "not-run")
        self.end_headers()

    do_POST = do_GET

    def log_message(self, *args):
        pass


class Fleet:
    def __init__(self, directory):
        self.directory = directory
        self.processes = []
        self.ports = {}

    def spawn(self, name, *args):
        log = open(os.path.join(self.directory, name + ".log"), "wb")
        self.processes.append(subprocess.Popen(
            args, cwd=self.directory, stdout=log, stderr=log))

    def standin(self, script, name, *args):
        self.spawn(name, sys.executable, f"{STANDINS}/{script}",
                   name + ".ports", *args)
        path = os.path.join(self.directory, name + ".ports")
        wait_until(lambda: os.path.exists(path) and open(path).read().strip())
        self.ports[name] = int(open(path).read())

    def post(self, name, path, value):
        fetch(f"http://{HOST}:{self.ports[name]}{path}",
              json.dumps(value).encode())

    def put(self, key, value):
        self.post("store", "/operator", {"key": key, "value": value})

    def send(self, path, n=1, headers=None):
        for _ in range(n):
            request = urllib.request.Request(
                f"http://{HOST}:{self.ports['caller']}{path}", headers={
                    "Host": "h.example", "Goldcrestfield-Request-Id":
                    f"r{random.randrange(10**9)}",
                    "Goldcrestfield-Deadline-Ms": "3000", **(headers or {})})
            fetch(request)

    def start(self, binary):
        self.standin("standin_store.py", "store")
        store = f"http://{HOST}:{self.ports['store']}"

        def route(name, kind, service, **more):
            return dict(name=name, host="h.example", path_prefix=f"/{name}/",
                        kind=kind, service=service, max_attempts=3,
                        timeout_ms=3000, target_latency_ms=1000, **more)
        self.put("op/config", {"version": 1, "routes": [
            route("look", "idempotent", "app"),
            route("draft", "streaming", "llm", resumable=True,
                  target_gap_ms=700)],
            "services": [{"name": "app"}, {"name": "llm", "engine": {}}]})
        for i in range(N_APPS):
            self.standin("standin_server.py", f"app{i}", f"app{i}", "app", "a",
                         store)
        for i in range(3):
            self.standin("standin_server.py", f"llm{i}", f"llm{i}", "llm", "a",
                         store, "engine", "v1")
        listener = http.server.ThreadingHTTPServer((HOST, 0), Listener)
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        address = f"{HOST}:{listener.server_port}"
        self.put(f"goldcrest/daemons/{OTHER}", {
            "address": address, "peer": address, "forward": address,
            "failure_domain": "a"})
        self.ports.update({name: free_port(os.getpid()) for name in
                           ("caller", "ready", "peer", "forward")})
        settings = {name: f"{HOST}:{self.ports[name]}" for name in
                    ("caller", "ready", "peer", "forward")}
        with open(os.path.join(self.directory, "d.json"), "w") as f:
            json.dump({"mode": "routed", "instance": "d", "source": SOURCE,
                       "failure_domain": "a", "addresses": f"{HOST}:0",
                       "store": store[len("http://"):], "log_level": "debug",
                       "stop_grace_s": 2, **settings}, f)
        self.spawn("d", binary, "-f", "d.json")
        ready = f"http://{HOST}:{self.ports['ready']}/v1/ready"
        wait_until(lambda: fetch(ready)[0] == 200)

    def play(self):
        apps = [f"app{i}" for i in range(N_APPS)]
        self.send("/look/ok", 10)
        # Before any server is brittle, whose loss is no crash.
        self.send("/look/crash", 2)
        time.sleep(3)
        for headers, ask in (({"Server-Limit": "50"}, "ask /peer/permits"),
                             ({"Server-Brittle": "6"}, "ask /peer/places")):
            for name in apps:
                self.post(name, "/headers", headers)
            self.send("/look/ok", 60)
            self.send_until_asked(ask)
        for name in apps:
            self.post(name, "/headers", {})
        self.send("/look/ok", 20)
        for i in 3, 4:
            self.standin("standin_server.py", f"llm{i}", f"llm{i}", "llm", "a",
                         f"http://{HOST}:{self.ports['store']}", "engine", "v2")
        time.sleep(1)
        self.send("/draft/ok", 20)
        for name in apps:
            self.post(name, "/cut", {"sources": [SOURCE], "how": "reset"})
        self.send("/look/ok", 6)

    def send_until_asked(self, what):
        """Which server a request goes to, and so whom it asks, is left to chance."""
        end = time.monotonic() + START_S
        while (not any(ask_of(target)["what"] == what
                       for target in Listener.asks) and
               time.monotonic() < end):
            self.send("/look/ok", 20)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def ask_of(target):
    path, _, query = target.partition("?")
    message = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return {"what": f"ask {path}" + (" told" if "told" in message else ""),
            "message": message}


def stored(store_url):
    """The keys of daemons, without the part of a key that is a name."""
    page = {"more_pages": True, "items": []}
    after = ""
    while page["more_pages"]:
        _, body = fetch(f"{store_url}/v1/kv-range?path_prefix=goldcrest/"
                        f"&after={urllib.parse.quote(after, safe='')}")
        page = json.loads(body)
        for item in page["items"]:
            after = item["key"]
            prefix = "/".join(after.split("/")[:2])
            if after != f"goldcrest/daemons/{OTHER}":
                yield {"what": f"key {prefix}", "key": after,
                       "message": parse(base64.b64decode(item["value"]))}


def parse(value):
    try:
        return json.loads(value)
    except ValueError:
        return value.decode("latin-1")


def record(binary, file):
    found = {}
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory)
        try:
            fleet.start(binary)
            fleet.play()
            for target in Listener.asks:
                found.setdefault(ask_of(target)["what"], ask_of(target))
            for entry in stored(f"http://{HOST}:{fleet.ports['store']}"):
                found.setdefault(entry["what"], entry)
            for hop in Listener.hops[:1]:
                found["passed on"] = {"what": "passed on", "message": hop}
            for entry in [e for e in found.values()
                          if e["what"].startswith("ask ")]:
                status, body = answer(f"http://{HOST}:{fleet.ports['peer']}",
                                      entry)
                if status in (200, 410):
                    what = f"answer {status} {entry['what'][4:]}"
                    found[what] = {"what": what, "message": json.loads(body)}
        finally:
            fleet.stop()
    with open(file, "w", encoding="ascii") as f:
        for what in sorted(found):
            f.write(json.dumps(found[what], sort_keys=True) + "\n")


def answer(peer_url, entry):
    query = urllib.parse.urlencode({**entry["message"], "wait_ms": 10}
                                   if "wait_ms" in entry["message"]
                                   else entry["message"])
    return fetch(f"{peer_url}{entry['what'].split(' ')[1]}?{query}",
                 b"" if "places" in entry["what"] or
                 "permits" in entry["what"] else None)


def kind_of(value):
    """A type that readers tell apart."""
    if isinstance(value, (bool, int, float, dict, list)):
        return type(value).__name__
    for name, pattern in (("address", r"[\d.]+:\d+"),
                          ("digits", r"[-0-9a-f.]+")):
        if re.fullmatch(pattern, value):
            return name
    return "text"


def members(value, path=""):
    if not path:
        yield "", kind_of(value)
    if isinstance(value, dict):
        for name, part in value.items():
            # The name of a revision may consist of digits only.
            yield f"{path}.{name}", (
                "text" if name == "build" and isinstance(part, str)
                else kind_of(part))
            yield from members(part, f"{path}.{name}")
    elif isinstance(value, list) and value:
        yield from members(value[0], path + "[]")


def load(file):
    with open(file, encoding="ascii") as f:
        entries = [json.loads(line) for line in f]
    return {entry["what"]: entry for entry in entries}


def missing(old_file, new_file):
    new = load(new_file)
    for what, entry in load(old_file).items():
        if what not in new:
            print(f"{what}: not written any more")
            continue
        have = dict(members(new[what]["message"]))
        for name, kind in members(entry["message"]):
            if have.get(name) != kind:
                print(f"{what}{name}: {kind}, now {have.get(name, 'missing')}")


def read(file, peer_url, store_url):
    build = os.path.basename(file).split(".")[0]
    for what, entry in load(file).items():
        if what.startswith("ask "):
            print(f"{build}: {what}: {answer(peer_url, entry)[0]}")
        elif what.startswith("key "):
            # Each build's daemon has a name of its own.
            fetch(f"{store_url}/operator", json.dumps({
                "key": re.sub("/d(/|$)", rf"/{build}\1", entry["key"]),
                "value": entry["message"]}).encode())


{"record": record, "missing": missing, "read": read}[sys.argv[1]](*sys.argv[2:])
