#!/usr/bin/env python3
"""Sends requests at a steady rate, or checks the requests that servers got.

usage: limit_load.py send RATE SECONDS PATH ADDRESS...
       limit_load.py worst SINCE PORTS_FILE
       limit_load.py count SINCE PORTS_FILE

"send" sends RATE requests a second in all to random addresses, each on a
connection of its own, and prints how often each status came. "{}" in PATH makes
each request a different one. "worst" prints the most requests in 4 s, "count" all
requests, that a stand-in server got since the monotonic time SINCE.
"""

import asyncio
import collections
import json
import random
import sys
import time
import urllib.request

WINDOW_S = 4


async def send_request(address, path, number, statuses):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"GET {path} HTTP/1.1\r\nHost: h.example\r\n"
                      f"Goldcrestfield-Request-Id: l{number}-{time.time_ns()}"
                      "\r\nAuthorization: Token key-1\r\n"
                      "Goldcrestfield-Deadline-Ms: 3000\r\n"
                      "Connection: close\r\n\r\n").encode())
        line = await asyncio.wait_for(reader.readline(), 5)
        await reader.read()
        statuses[line.split()[1].decode() if line else "closed"] += 1
        writer.close()
    except (OSError, asyncio.TimeoutError):
        statuses["failed"] += 1


async def send(rate, seconds, path, addresses):
    statuses = collections.Counter()
    tasks = []
    start = time.monotonic()
    for number in range(int(rate * seconds)):
        wait_s = start + number / rate - time.monotonic()
        await asyncio.sleep(max(wait_s, 0))
        tasks.append(asyncio.ensure_future(send_request(
            random.choice(addresses),
            path.replace("{}", str(time.time_ns())), number, statuses)))
    await asyncio.gather(*tasks)
    print(" ".join(f"{status}:{n}" for status, n in sorted(statuses.items())))


def arrivals(since, ports_file):
    with open(ports_file, encoding="ascii") as f:
        url = f"http://127.0.0.1:{f.read().strip()}/stats"
    with urllib.request.urlopen(url) as response:
        times = json.load(response)["arrivals"]
    return sorted(t for t in times if t >= since)


def worst(times):
    most = first = 0
    for last, end in enumerate(times):
        while times[first] <= end - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


if sys.argv[1] == "send":
    asyncio.run(send(float(sys.argv[2]), float(sys.argv[3]), sys.argv[4],
                     sys.argv[5:]))
else:
    found = arrivals(float(sys.argv[2]), sys.argv[3])
    print(worst(found) if sys.argv[1] == "worst" else len(found))
