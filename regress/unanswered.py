"""Sends lookups to a daemon and counts those that end without an answer or a refusal,
whatever the cause: the connection is closed, or nothing comes within their time.
unanswered.out gets the numbers.

usage: unanswered.py HOST:PORT SECONDS
"""

import asyncio
import collections
import sys
import time

INTERVAL_S = 0.03
TIME_LIMIT_S = 1.5  # of the route


async def exchange(host, port, request):
    """Returns the status of a complete response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        await reader.readexactly(length)
        return head[9:12].decode()
    finally:
        writer.close()


async def look(host, port, number, ends):
    request = (f"GET /look/ok HTTP/1.1\r\nHost: h.example\r\n"
               f"Goldcrestfield-Request-Id: small{number:06d}\r\n"
               f"Goldcrestfield-Deadline-Ms: {int(TIME_LIMIT_S * 1000)}\r\n"
               f"Authorization: Token key-1\r\n\r\n")
    try:
        ends[await asyncio.wait_for(exchange(host, port, request),
                                    TIME_LIMIT_S)] += 1
    except asyncio.TimeoutError:
        ends["no answer in time"] += 1
    except (OSError, EOFError) as error:
        ends[type(error).__name__] += 1


async def main():
    host, port = sys.argv[1].split(":")
    end = time.monotonic() + float(sys.argv[2])
    ends = collections.Counter()
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(
            look(host, int(port), len(tasks), ends)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    whole = ends["200"] + ends["503"]
    with open("unanswered.out", "a") as f:
        print(len(tasks), dict(ends), file=f)
    print(f"{len(tasks) - whole} without an answer or a refusal")
    print("nine of ten or more served" if ends["200"] * 10 >= len(tasks) * 9
          else "fewer than nine of ten served")


asyncio.run(main())
