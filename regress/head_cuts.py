#!/usr/bin/env python3
"""Requests to servers whose answers break off in their head.

usage: head_cuts.py ADDRESS ROUTE METHOD [BODY_BYTES [PREFIX]]

Sends a request for each answer of standins/routed/heads.py, with PREFIX before its
name. Prints how many got no answer that a caller would take for a whole success, and
the names of those that did.
"""

import concurrent.futures
import os
import socket
import sys
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../standins/routed"))
import heads  # noqa: E402

CALLS = 8  # at once


def receive(sock):
    """Returns the bytes received, and whether the connection ended orderly."""
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except OSError:
        return data, False
    return data, True


def looks_whole(data, orderly, method):
    """True if it is a success that a caller would take for whole."""
    head, found, body = data.partition(b"\r\n\r\n")
    if not found or not head.startswith((b"HTTP/1.1 2", b"HTTP/1.0 2")):
        return False
    fields = {}
    for line in head.lower().split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields[name] = value.strip()
    if method == "HEAD":
        return True
    if b"transfer-encoding" in fields:
        return body.endswith(b"0\r\n\r\n")
    if b"content-length" in fields:
        return len(body) >= int(fields[b"content-length"])
    return orderly


def request(address, route, method, n_body, name):
    host, port = address.split(":")
    # Servers don't read the body, so that a part of it is still on its way.
    query = "?unread" if n_body else ""
    head = (f"{method} /{route}/{name}{query} HTTP/1.1\r\nHost: h.example\r\n"
            f"Authorization: Token key-1\r\nConnection: close\r\n"
            f"Goldcrestfield-Request-Id: {uuid.uuid4()}\r\n"
            f"Goldcrestfield-Deadline-Ms: 3000\r\n"
            f"Content-Length: {n_body}\r\n\r\n")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.settimeout(10)
        sock.sendall(head.encode() + b"x" * n_body)
        return looks_whole(*receive(sock), method)


def main():
    address, route, method = sys.argv[1:4]
    n_body = int(sys.argv[4]) if len(sys.argv) > 4 else 0
    prefix = sys.argv[5] if len(sys.argv) > 5 else "head-"
    n = 0
    with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
        calls = [(name, pool.submit(request, address, route, method, n_body,
                                    prefix + name)) for name in heads.names()
                 if not heads.is_whole(name, method)]
        for name, call in calls:
            n += not call.result()
            if call.result():
                print("taken for whole:", name)
    print(n, "of", len(calls))


if __name__ == "__main__":
    main()
