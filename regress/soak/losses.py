"""Checks that each whole request gets a complete response around planned work:
changes of the configuration, SIGHUP and SIGTERM. 502, 503 and 504 are responses.

A request that a server got, or whose connection ended later than LOSS_SLACK_S after
its last byte, is lost if it has no complete response, unless its daemon, or any
server, had another disturbance in the CONTACT_S before it and until its end. With
daemons that are held to a share of a processor, only requests without any byte of a
response are. Also kept connections are used; their callers respect an announced close.
Requests during which the soak test itself didn't run for a while are left out.
"""

import asyncio
import random
import re
import time

from cut_off import CONTACT_S, DAEMON_FAULTS, Interval

PLANNED = ("config", "changes", "revoke", "stop daemon", "hup daemon")
KEPT_CLIENTS = 6
LOSS_SLACK_S = 0.2
GRACE_S = 3  # of the daemons' settings
DEADLINE_S = 9
ROUTE_LIMITS_S = {"look": 2, "book": 2}
USED_SHARE = 0.7  # of its time, after which its server may be to blame
LATE_S = 0.5  # after its time limit, a response is overdue
TICK_S = 0.02
# Behaviours of servers that break a response off.
BROKEN_OFF = ("plaincut", "empty")


def is_complete(head, data):
    length = re.search(r"(?i)\r\ncontent-length: *(\d+)", head)
    if length:
        return len(data) == int(length[1])
    if re.search(r"(?i)\r\ntransfer-encoding: chunked", head):
        return data.endswith(b"\r\n0\r\n\r\n")
    return True


async def read_framed(reader, head):
    length = re.search(r"(?i)\r\ncontent-length: *(\d+)", head)
    if length:
        return await reader.readexactly(int(length[1]))
    if re.search(r"(?i)\r\ntransfer-encoding: chunked", head):
        return await reader.readuntil(b"\r\n0\r\n\r\n")
    return await reader.read(-1)


class Try:
    """A request from its last byte to the end of its response or connection."""

    def __init__(self, losses, run_id, route, behaviour, port):
        self.run_id = run_id
        self.daemon = losses.daemon_at(port)
        self.limit = ROUTE_LIMITS_S.get(route, DEADLINE_S)
        self.excused = behaviour in BROKEN_OFF
        self.sent_at = self.end = None
        self.begun = self.complete = False
        self.gave_up = False  # the client, before the end
        losses.tries.append(self)


class LossCheck:
    """The tries of a soak test and what disturbed them."""

    def __init__(self, soak):
        self.soak = soak
        self.tries = []
        self.disturbances = []
        self.stalls = []  # (begin, end), of the soak test itself
        self.stops = []  # (daemon, time of SIGTERM)

    def daemon_at(self, port):
        return next(name for name, (*_, proxy) in self.soak.daemons.items()
                    if proxy.port == port)

    def begin_fault(self, kind, daemon):
        names = ([] if kind in PLANNED else
                 [daemon] if kind in DAEMON_FAULTS else
                 sorted(self.soak.daemons))
        self.disturbances.append(Interval(names))
        return self.disturbances[-1]

    def disturbed(self, a_try):
        return any(a_try.daemon in d.names and d.begin < a_try.end and
                   d.end > a_try.sent_at - CONTACT_S
                   for d in self.disturbances)

    def start_clients(self):
        n = KEPT_CLIENTS if "planned" in self.soak.modes else 0
        return [asyncio.ensure_future(self.watch_loop()),
                *(asyncio.ensure_future(self.run_kept_client(i))
                  for i in range(n))]

    async def watch_loop(self):
        while not self.soak.stop:
            begin = time.monotonic()
            await asyncio.sleep(TICK_S)
            if time.monotonic() - begin > 2 * TICK_S:
                self.stalls.append((begin + TICK_S, time.monotonic()))

    def used(self, a_try):
        until = a_try.end or time.monotonic()
        return until - a_try.sent_at - sum(
            max(0, min(end, until) - max(begin, a_try.sent_at))
            for begin, end in self.stalls)

    def is_excused(self, a_try, passed_on):
        used = self.used(a_try)
        overdue = used >= a_try.limit + LATE_S - TICK_S
        # The proxies stood still with the soak test.
        stalled = a_try.end - a_try.sent_at - used
        if (stalled > LOSS_SLACK_S or (a_try.gave_up and not overdue) or
                a_try.excused or (used <= LOSS_SLACK_S and not passed_on) or
                self.disturbed(a_try) or
                (a_try.begun and "share" in self.soak.modes)):
            return True
        stops = [at for daemon, at in self.stops if daemon == a_try.daemon and
                 at < a_try.end and a_try.sent_at < at + GRACE_S + 1]
        if any(passed_on and a_try.sent_at <= at + 3 and
               a_try.end >= at + GRACE_S * 5 / 6 for at in stops):
            return True
        return ((1 if stops else USED_SHARE) * a_try.limit <= used and
                not overdue)

    def violations(self, runs):
        self.soak.counts["stalled ms"] = int(1000 * sum(
            end - begin for begin, end in self.stalls))
        for a_try in self.tries:
            if a_try.complete or a_try.sent_at is None or a_try.end is None:
                continue
            passed_on = a_try.run_id in runs
            self.soak.count("no complete response")
            if not self.is_excused(a_try, passed_on):
                yield (f"{a_try.run_id}: "
                       f"{'a part of a' if a_try.begun else 'no'} response "
                       f"{self.used(a_try):.2f} s after it was sent to "
                       f"{a_try.daemon}, "
                       f"{'run' if passed_on else 'not run'}, ended "
                       f"{time.time() - time.monotonic() + a_try.end:.3f}")

    async def run_kept_client(self, number):
        """Sends requests on one connection until its daemon closes it."""
        soak, rng = self.soak, random.Random(f"kept {number}")
        n_requests = 0
        while not soak.stop:
            port = soak.daemons[rng.choice(sorted(soak.daemons))][3].port
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                kept = True
                while kept and not soak.stop:
                    n_requests += 1
                    kept = await self.send_kept(
                        rng, f"k{number}-{n_requests}", port, reader, writer)
                    await asyncio.sleep(rng.choice([0, 0.05, 0.5]))
            except (OSError, asyncio.TimeoutError, EOFError):
                soak.count("no response")
                await asyncio.sleep(0.05)
            writer.close()

    async def send_kept(self, rng, run_id, port, reader, writer):
        """Returns whether the connection is kept after the response."""
        route, behaviour = self.soak.choose_request(rng)
        self.soak.upgrade.begin_try(run_id, port)
        a_try = Try(self, run_id, route, behaviour, port)
        if route == "book":
            self.soak.booked.add(run_id)
        text = self.soak.request_text(route, behaviour, run_id, "key-1",
                                      f"body of {run_id}".encode(), "")
        try:
            writer.write(text)
            a_try.sent_at = time.monotonic()
            head, data = await self.receive_in_time(a_try, reader)
        finally:
            a_try.end = time.monotonic()
        self.soak.count(head.split(" ")[1])
        self.soak.check_response(route, behaviour, run_id, "key-1",
                                 a_try.sent_at, int(head.split(" ")[1]), head,
                                 data, 0)
        return a_try.complete and "connection: close" not in head.lower()

    async def receive_in_time(self, a_try, reader):
        """What came while the soak test didn't run is read before it gives up."""
        task = asyncio.ensure_future(self.receive(a_try, reader))
        while not task.done() and self.used(a_try) < a_try.limit + LATE_S:
            await asyncio.wait({task}, timeout=2 * TICK_S)
        if task.done():
            return task.result()
        task.cancel()
        a_try.gave_up = True
        raise asyncio.TimeoutError

    @staticmethod
    async def receive(a_try, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        a_try.begun = True
        data = await read_framed(reader, head)
        a_try.complete = is_complete(head, data)
        return head, data
