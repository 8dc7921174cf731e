#!/usr/bin/env python3
"""Callers that send requests on kept connections until a daemon has stopped.

usage: stop_waits.py ADDRESS PID LOG PATH... [-- COMMAND...]

PID gets SIGTERM after 0.5 s. A path has the request's method and time limits before
it: "POST:/buy/ok:300,2000". Every third request sends a part of its body late. The
command runs 0.5 s after the SIGTERM. Prints the number of requests without a complete
answer, of refusals as not run of requests that ran (by runs.log), of requests sent after
the SIGTERM that failed before their last answer is due, and whether ten were served after it.
Requests that servers broke off ("once-") count where LOG says that the stop ended them.
"""

import random
import re
import signal
import socket
import os
import subprocess
import sys
import threading
import time
import uuid

N_CALLERS = 16
CALL_S = 4
# Callers that send their only request late, on a connection of before the SIGTERM.
N_LATE = 60
LATE_S = (2.2, 2.6)  # after the SIGTERM, the end of the grace within
END_PATTERN = re.compile(rb"(?i)content-length: (\d+)")
# The last answer comes so long before the end of the caller's time: 20 ms and a round trip.
LAST_ANSWER_MS = 25
ROUTE_MS = {"find": 1500, "buy": 1500, "long": 30000, "text": 9000}


class Sent:
    def __init__(self, path, limit_ms, stopping):
        self.id = str(uuid.uuid4())
        self.path = path
        self.crosses = False
        route_ms = ROUTE_MS[path.split("/")[1]]
        self.limit_ms = min(limit_ms, route_ms)
        self.last_answer_ms = min(limit_ms - LAST_ANSWER_MS, route_ms)
        self.stopping = stopping
        self.started = time.monotonic()
        self.status = None
        self.took_ms = 0
        self.complete = False
        self.end = b""


class Callers:
    def __init__(self, address, seconds, paths):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.end = time.monotonic() + seconds
        self.paths = paths
        self.stopping = False
        self.sent = []

    def run(self, number):
        generator = random.Random(number)
        sock = None
        while time.monotonic() < self.end:
            try:
                if not sock:
                    sock = socket.create_connection(self.address, 2)
                    sock.settimeout(12)
            except OSError:
                time.sleep(0.05)
                continue
            if not self.exchange(sock, generator):
                sock.close()
                sock = None
            time.sleep(generator.random() * 0.05)

    def run_late(self, number):
        generator = random.Random(number)
        with socket.create_connection(self.address, 2) as sock:
            sock.settimeout(12)
            time.sleep(0.5 + generator.uniform(*LATE_S))
            self.exchange(sock, generator, True)

    def exchange(self, sock, generator, crosses=False):
        """Returns whether the connection is kept. A request that crosses the close
        of its connection may have no answer if it was not run."""
        method, path, limits = generator.choice(self.paths).split(":")
        limit_ms = int(generator.choice(limits.split(",")))
        sent = Sent(path, limit_ms, self.stopping)
        sent.crosses = crosses
        body = b'{"item":"sofa"}' if method == "POST" else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Authorization: Token key-1\r\n"
                f"Goldcrestfield-Request-Id: {sent.id}\r\n"
                f"Goldcrestfield-Deadline-Ms: {limit_ms}\r\n"
                f"Content-Length: {len(body)}\r\n")
        if path.startswith("/text/") and generator.random() < 0.5:
            head += "Last-Event-Id: 3\r\n"
        text = (head + "\r\n").encode() + body
        cut = generator.choice((0, 0, 5))
        data = b""
        try:
            sock.sendall(text[:len(text) - cut])
            if cut:
                time.sleep(generator.random() * 0.2)
                sock.sendall(text[len(text) - cut:])
            self.sent.append(sent)
            while part := sock.recv(65536):
                data += part
                if self.is_complete(data):
                    sent.complete = True
                    break
        except OSError as error:
            sent.end = str(error).encode()
        sent.took_ms = 1000 * (time.monotonic() - sent.started)
        sent.status = data[9:12].decode() or None
        sent.end += data[-60:]
        return sent.complete and b"connection: close" not in data.lower()

    @staticmethod
    def is_complete(data):
        head, found, body = data.partition(b"\r\n\r\n")
        length = END_PATTERN.search(head)
        if found and length:
            return len(body) >= int(length.group(1))
        return found and body.endswith(b"0\r\n\r\n")


def main():
    args = sys.argv[1:]
    command = []
    if "--" in args:
        command = args[args.index("--") + 1:]
        args = args[:args.index("--")]
    callers = Callers(args[0], CALL_S, args[3:])
    threads = [threading.Thread(target=callers.run, args=[n])
               for n in range(N_CALLERS)]
    threads += [threading.Thread(target=callers.run_late, args=[n])
                for n in range(N_LATE)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    callers.stopping = True
    os.kill(int(args[1]), signal.SIGTERM)
    time.sleep(0.5)
    if command:
        subprocess.run(["bash", "-c", command[0]], check=False)
    for thread in threads:
        thread.join()
    with open("runs.log", encoding="ascii") as f:
        runs = {line.split()[0] for line in f}
    # What a server broke off may end early, but not by the stop.
    with open(args[2], encoding="utf-8") as f:
        stopped = "".join(line for line in f if '"limit":"stop"' in line)
    sent = [s for s in callers.sent
            if "/once-" not in s.path or s.id in stopped]
    served = [s for s in callers.sent if s.status == "200" and s.complete]
    untrue = [s for s in callers.sent if s.id in runs and
              s.status in ("408", "421", "429", "503")]
    cut = [s for s in sent if not s.complete and s.took_ms < s.limit_ms and
           not (s.crosses and s.id not in runs)]
    failed = [s for s in sent if s.complete and s.stopping and
              s.status in ("502", "504") and s.took_ms < s.last_answer_ms]
    print("cut", len(cut), "untrue", len(untrue), "failed", len(failed),
          sum(s.stopping for s in served) >= 10)
    print(len(sent), "sent", len(served), "served,",
          sum(s.stopping for s in served), "after the SIGTERM",
          sum(s.crosses for s in sent), "late", sum(s.crosses and s.complete for s in sent),
          "answered", file=sys.stderr)
    for name, some in (("cut", cut), ("untrue", untrue), ("failed", failed)):
        for s in some[:5]:
            print(name, s.path, s.status, s.limit_ms, int(s.took_ms),
                  s.stopping, s.end, s.id, file=sys.stderr)


main()
