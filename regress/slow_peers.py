#!/usr/bin/env python3
"""Callers that read slowly, and sound ones beside them, for scripted tests.

usage: slow_peers.py slow ADDRESS N PATH PACE SECONDS READY_FILE [BODY_BYTES [KEEP]]
       slow_peers.py sound ADDRESS SECONDS INTERVAL_MS MAX_MS PATH...

slow opens N connections, each with one request: a GET, or a POST of BODY_BYTES. PACE
is the bytes that each reads per second; "begin" reads the first bytes and stops. With
KEEP, only so many bytes of a body are sent. READY_FILE is created when all requests
have been sent as far as the daemon takes them. Prints how many connections the daemon
ended, how many are open, and how many got each status.

sound sends a request at each interval, in turn to the paths, on new connections.
Prints "all served" if each answer was a complete 200 within MAX_MS, else the figures.
"""

import asyncio
import collections
import sys
import time

RCVBUF = 4096
FIRST_BYTES = 100


def request(path, name, n_bytes=None):
    head = (f"{'GET' if n_bytes is None else 'POST'} {path} HTTP/1.1\r\n"
            "Host: h.example\r\nAuthorization: Token key-1\r\n"
            f"Goldcrestfield-Request-Id: {name}\r\n"
            "Goldcrestfield-Deadline-Ms: 60000\r\n")
    if n_bytes is not None:
        head += f"Content-Length: {n_bytes}\r\n"
    return (head + "\r\n").encode()


class SlowCaller:
    def __init__(self, address, path, pace, name, body, keep):
        self.address = address
        self.pace = pace
        self.head = request(path, name, body)
        self.body = b"b" * min(body or 0, keep)
        self.data = b""
        self.end = None
        self.sent = asyncio.Event()

    async def run(self):
        import socket
        loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RCVBUF)
        self.sock.setblocking(False)
        try:
            await loop.sock_connect(self.sock, self.address)
            writer = asyncio.ensure_future(
                loop.sock_sendall(self.sock, self.head + self.body))
            await asyncio.wait([writer], timeout=2)
            self.sent.set()
            await self.read(loop)
            writer.cancel()
        except OSError as e:
            self.end = type(e).__name__
        self.sent.set()

    async def read(self, loop):
        if self.pace == "begin":
            self.data = await loop.sock_recv(self.sock, FIRST_BYTES)
            await self.watch()
            return
        while True:
            if float(self.pace) == 0:
                await self.watch()
                return
            data = await loop.sock_recv(self.sock, max(1, int(self.pace)))
            if not data:
                self.end = "closed"
                return
            self.data += data
            await asyncio.sleep(1)

    async def watch(self):
        """Looks for a reset without reading."""
        while True:
            import socket
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.end = "reset"
                return
            await asyncio.sleep(0.2)


async def slow(address, n, path, pace, seconds, ready, body=None, keep=None):
    keep = 1 << 40 if keep is None else keep
    callers = [SlowCaller(address, path, pace, f"slow{time.time_ns()}{i}", body,
                          keep) for i in range(n)]
    tasks = []
    for i, caller in enumerate(callers):
        tasks.append(asyncio.ensure_future(caller.run()))
        if i % 50 == 49:
            await asyncio.sleep(0.05)
    await asyncio.gather(*(caller.sent.wait() for caller in callers))
    with open(ready, "w", encoding="ascii"):
        pass
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for caller in callers:
        while caller.pace == "0" and not caller.end:
            try:
                part = caller.sock.recv(1 << 16)
            except BlockingIOError:
                break
            except OSError as e:
                caller.end = type(e).__name__
                break
            caller.data += part
            if not part:
                break
    ended = sum(caller.end is not None for caller in callers)
    statuses = collections.Counter(
        caller.data[9:12].decode() for caller in callers
        if caller.data.startswith(b"HTTP/1.1 "))
    print("ended", ended, "open", n - ended,
          *(f"{k}:{v}" for k, v in sorted(statuses.items())))


async def one(address, path, name):
    start = time.monotonic()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request(path, name))
    data = b""
    while True:
        part = await reader.read(1 << 16)
        if not part:
            break
        data += part
        head, _, rest = data.partition(b"\r\n\r\n")
        lower = head.lower()
        if b"transfer-encoding: chunked" in lower:
            if rest.endswith(b"0\r\n\r\n"):
                break
        elif b"content-length: " in lower:
            size = int(lower.split(b"content-length: ")[1].split(b"\r")[0])
            if len(rest) >= size:
                break
    writer.close()
    return data[9:12].decode(), (time.monotonic() - start) * 1000


async def sound(address, seconds, interval_ms, max_ms, paths):
    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        tasks.append(asyncio.ensure_future(
            one(address, paths[len(tasks) % len(paths)],
                f"sound{time.time_ns()}")))
        await asyncio.sleep(interval_ms / 1000)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    good = [r for r in results if isinstance(r, tuple) and r[0] == "200"]
    worst = max((ms for _, ms in good), default=0)
    print(f"{len(good)} of {len(results)}, worst {worst:.0f} ms",
          file=sys.stderr)
    if len(good) == len(results) and worst <= max_ms:
        print("all served")
    else:
        bad = collections.Counter(str(r)[:60] for r in results
                                  if r not in good)
        print(f"{len(good)} of {len(results)}, worst {worst:.0f} ms", dict(bad))


def main():
    host, port = sys.argv[2].split(":")
    address = (host, int(port))
    if sys.argv[1] == "slow":
        more = [int(a) for a in sys.argv[8:]]
        asyncio.run(slow(address, int(sys.argv[3]), sys.argv[4], sys.argv[5],
                         float(sys.argv[6]), sys.argv[7], *more))
    else:
        asyncio.run(sound(address, float(sys.argv[3]), float(sys.argv[4]),
                          float(sys.argv[5]), sys.argv[6:]))


if __name__ == "__main__":
    main()
