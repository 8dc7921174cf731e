#!/usr/bin/env python3
"""Lookups whose first server is silent and whose second one answers beside it, each with
an answer in two halves (standins/routed/halves.py), in all combinations of FIRST and SECOND.

usage: kept_answers.py ADDRESS ROUTE

Prints what is wrong: answers that look complete and aren't the whole answer of the server
that their head names, and sound answers that were there in time and weren't given. Then how
many answers were checked.
"""

import concurrent.futures
import itertools
import socket
import sys
import time

HOST = "h.example"
DEADLINE_MS = 1000
CALLS = 4  # at once
# The answer of the first server is sound, and of less than is received before any of it is
# forwarded.
FIRST = [f"slow-{framing}-{status}-{n}" for framing in ("length", "chunks")
         for status, n in ((200, 0), (200, 20), (404, 0), (409, 20))]
SECOND = ["cut-length-200-0", "cut-chunks-200-0", "cut-length-404-20",
          "cut-chunks-500-0", "cut-close-200-0", "none-length-200-0",
          "soon-length-200-0", "soon-chunks-409-20"]


def request(address, route, method, first, second, number):
    """The status (0: no complete answer), the server and the body."""
    host, port = address.rsplit(":", 1)
    names = "-".join("halves_" + name.replace("-", "_")
                     for name in (first, second, second))
    with socket.create_connection((host, int(port))) as s:
        s.settimeout(DEADLINE_MS / 1000)
        s.sendall(f"{method} {route}turns-{names} HTTP/1.1\r\nHost: {HOST}\r\n"
                  f"Goldcrestfield-Request-Id: k{number}-{time.time_ns()}\r\n"
                  f"Authorization: Token key-1\r\nConnection: close\r\n"
                  f"Goldcrestfield-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode())
        data = b""
        try:
            while part := s.recv(65536):
                data += part
        except OSError:
            return 0, "", b""
    return parse(data, method)


def parse(data, method):
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return 0, "", b""
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    status = int(lines[0].split(" ")[1])
    server = fields.get("goldcrestfield-response-seal", "").removeprefix("seal-")
    if method != "HEAD" and int(fields.get("content-length", -1)) != len(body):
        return 0, "", b""
    return status, server, body


def check(address, route, method, first, second, number):
    """What is wrong with the answer, or nothing."""
    status, server, body = request(address, route, method, first, second, number)
    if status == 0 or (status >= 500 and not server):
        return f"no answer ({status})"
    for name in (first, second):
        when, _, own_status, n_kbytes = name.split("-")
        whole = half(server, "first", n_kbytes) + half(server, "second", n_kbytes)
        if (when in ("slow", "soon") and status == int(own_status) and
                body == (b"" if method == "HEAD" else whole)):
            return ""
    return f"{status} of {server or 'nobody'} with {len(body)} bytes"


def half(server, which, n_kbytes):
    line = f"{which} half of {server}\n".encode()
    return line * max(1, int(n_kbytes) * 1024 // len(line))


def main():
    address, route = sys.argv[1:3]
    calls = [(method, first, second) for method, first, second in
             itertools.product(("GET", "HEAD"), FIRST, SECOND)
             if method == "GET" or second.startswith("none")]
    with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
        results = [pool.submit(check, address, route, *call, number)
                   for number, call in enumerate(calls)]
    for call, result in zip(calls, results):
        if result.result():
            print(*call, result.result())
    print(len(calls), "checked")


if __name__ == "__main__":
    main()
