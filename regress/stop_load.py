#!/usr/bin/env python3
"""Callers that send requests without a pause while a daemon stops.

usage: stop_load.py ADDRESS PID THREADS HEAD [BODY]

HEAD is the head of the request with \\r\\n escapes, without Content-Length; "@"
in it is replaced by a new UUID version 7. Half of the callers keep their connections,
the other half opens one for each request; every fourth sends its body late. The
process gets SIGTERM after 0.5 s. Each caller ends when its connection is
refused. Prints the number of answers that callers missed: requests that were
sent on an established connection and got no complete answer.
"""

import os
import random
import re
import signal
import socket
import sys
import threading
import time

TIME_LIMIT_S = 12


def uuid7():
    ms = int(time.time() * 1000)
    return (f"{ms >> 16:08x}-{ms & 0xffff:04x}-7{random.randrange(4096):03x}-"
            f"8{random.randrange(4096):03x}-{random.randrange(1 << 48):012x}")


class Caller(threading.Thread):
    def __init__(self, number, address, head, body):
        super().__init__()
        host, port = address.split(":")
        self.address = (host, int(port))
        self.keep = number % 2 == 0
        self.late_body = number % 4 == 1 and body
        self.head = head
        self.body = body.encode()
        self.answered = 0
        self.missed = []
        self.n_before = 0  # requests answered on the connection

    def run(self):
        end = time.monotonic() + TIME_LIMIT_S
        sock = None
        while time.monotonic() < end:
            try:
                if not sock:
                    sock = socket.create_connection(self.address, 2)
                    self.n_before = 0
            except OSError:
                return
            status = self.exchange(sock)
            self.answered += status is not None
            self.n_before += 1
            if status is None or not self.keep or self.closing:
                sock.close()
                sock = None

    def exchange(self, sock):
        """Returns the status, or None if there was no complete answer."""
        text = self.head.replace("@", uuid7()).encode()
        text += b"Content-Length: %d\r\n\r\n" % len(self.body)
        data = b""
        self.closing = True
        try:
            sock.sendall(text)
            if self.late_body:
                time.sleep(0.02)
            sock.sendall(self.body)
            while True:
                part = sock.recv(65536)
                if not part:
                    break
                data += part
                head, found, rest = data.partition(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                if found and length and len(rest) >= int(length.group(1)):
                    self.closing = b"connection: close" in head.lower()
                    return int(head.split(b" ")[1])
        except OSError as error:
            return self.miss(f"{error} after {len(data)} bytes")
        return self.miss(f"closed after {len(data)} bytes")

    def miss(self, reason):
        which = "a kept" if self.n_before else "a new"
        self.missed.append(f"{reason}, on {which} connection")


def main():
    address, pid, n, head = sys.argv[1:5]
    body = sys.argv[5] if len(sys.argv) > 5 else ""
    head = head.encode().decode("unicode_escape")
    callers = [Caller(i, address, head, body) for i in range(int(n))]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    os.kill(int(pid), signal.SIGTERM)
    for caller in callers:
        caller.join()
    missed = [m for c in callers for m in c.missed]
    print("answered", sum(c.answered for c in callers) > 100,
          "missed", len(missed))
    for reason in sorted(set(missed)):
        print(reason, missed.count(reason), file=sys.stderr)


main()
