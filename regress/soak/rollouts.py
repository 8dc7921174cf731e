"""Orders roll-outs of good and bad versions, and checks what is promised of them.

A bad version gets at most SHARE of its service's requests and SLACK until the time
limit of its order, and none later than WITHDRAW_S after its N_BAD-th bad answer since
the store was last unavailable; no version gets any later than WITHDRAW_S after the
record first named it as barred, unless it is ordered again; a decision doesn't change,
and is made by the time limit unless the store is away. Requests count when they reach
a server, so those that a proxy or a cut held back are left out of the times.

After a success the former servers are killed, after a roll-back the target's drain.
"""

import asyncio
import base64
import json
import random
import signal
import time

from cut_off import STORE_FAULTS, Interval

SHARE = 0.1
SLACK = 50
WITHDRAW_S = 5.0
N_BAD = 50
SETTINGS = {"rollout_share": SHARE, "rollout_slack": SLACK,
            "rollout_withdraw_ms": int(WITHDRAW_S * 1000)}
# Of each answer, and of an engine's events: five times as much is slow even beside the
# time that the proxies and a busy machine take.
WORK_MS = 50
BAD = {"failing": {"fail": 0.3}, "slow": {"slow": 5}}
SERVERS = {"app": 2, "llm": 3}  # of each version
MORE_CLIENTS = 12  # so that routes have enough answers to decide by
DURATION_S = (4.0, 6.0)
# After the time limit, for the write and the poll that sees it on a busy machine.
DECIDE_SLACK_S = 2.0
DRAIN_AFTER_S = 1.0
DRAIN_S = WITHDRAW_S + 1
POLL_S = 0.1
# Requests held back by a cut or a silent link are sent again within this time.
RESEND_S = 1.5


class Rollout:
    """An order, and what the record told of it."""

    def __init__(self, service, target, kind, duration_s):
        self.service = service
        self.target = target
        self.kind = kind  # "good" or one of BAD
        self.duration_s = duration_s
        self.begin = time.monotonic()
        self.state = None  # once it is decided
        self.decided_at = None
        self.superseded = False  # before it was decided
        self.removed_at = None  # before it was decided

    def value(self):
        return {"service": self.service, "target": self.target,
                "duration_s": self.duration_s}


class RolloutCheck:
    """The roll-outs of a soak test."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.enabled = "rollout" in soak.modes
        # The series of other faults must not depend on this mode.
        self.random = random.Random(f"rollout {seed}")
        self.rollouts = {}  # by target
        self.orders = {}  # by service, those in the store
        # (Service, version) -> the version that took its place.
        self.retired = {}
        # (Service, version) -> when the record first named it.
        self.barred = {}
        self.store_faults = []
        self.restores = []  # of these, those in which it went back to a copy
        self.holds = []  # faults that hold requests of all servers back
        self.tasks = []
        self.watching = True

    def begin_fault(self, kind, _daemon):
        interval = Interval([])
        if kind in STORE_FAULTS:
            self.store_faults.append(interval)
        if kind == "restore":
            self.restores.append(interval)
        if kind in ("links", "cutoff"):
            self.holds.append(interval)
        return interval

    def replacement(self, service, server):
        """The version of a server that takes the place of this one."""
        if not self.enabled:
            return None
        version = self.version_of(server)
        while successor := self.retired.get((service, version)):
            version = successor
        return version

    async def configure(self, server):
        """Gives a server the qualities of its version."""
        if not self.enabled:
            return
        rollout = self.rollouts.get(self.soak.versions.get(server))
        await self.soak.post_to_server(
            self.soak.servers[server][2], "/bad",
            {"work_ms": WORK_MS, **BAD.get(rollout and rollout.kind, {})})

    async def run(self, seconds):
        if not self.enabled:
            return
        watcher = asyncio.ensure_future(self.watch())
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.roll_out(self.random.choice(sorted(SERVERS)))
            await asyncio.sleep(self.random.uniform(0.3, 1))
        await asyncio.gather(*self.tasks)
        self.watching = False
        await watcher

    async def roll_out(self, service):
        rollout = await self.order(service)
        way = self.random.choices(["through", "second", "remove"], [6, 2, 1])[0]
        if way != "through":
            await asyncio.sleep(rollout.duration_s / 2)
        former = None
        if way == "remove" and rollout.state is None:
            rollout.removed_at = time.monotonic()
            self.orders.pop(service)
            await self.write_order(service)
        elif way == "second" and rollout.state is None:
            rollout.superseded = True
            former, rollout = rollout, await self.order(service)
        while (rollout.state is None and time.monotonic() <
               rollout.begin + rollout.duration_s + DECIDE_SLACK_S):
            await asyncio.sleep(POLL_S)
        self.soak.log_fault(f"roll-out to {rollout.target}: {rollout.state}")
        if rollout.state == "succeeded":
            await self.kill_others(service, rollout.target)
        else:
            self.tasks.append(asyncio.ensure_future(self.drain(rollout)))
        if former:
            self.tasks.append(asyncio.ensure_future(self.drain(former)))

    async def order(self, service):
        """Writes an order and starts the target's servers."""
        rollout = Rollout(service, f"r{len(self.rollouts) + 1}",
                          self.random.choice(["good", *sorted(BAD)]),
                          round(self.random.uniform(*DURATION_S), 1))
        self.rollouts[rollout.target] = self.orders[service] = rollout
        self.soak.log_fault(f"order: {rollout.value()}, {rollout.kind}")
        await self.write_order(service)
        for i in range(SERVERS[service]):
            await self.soak.start_server(service, "ab"[i % 2], rollout.target)
        return rollout

    async def write_order(self, service):
        rollout = self.orders.get(service)
        await self.soak.post_to_store("/operator", {
            "key": f"op/rollout/{service}",
            **({"value": rollout.value()} if rollout else {"remove": True})})

    async def write_orders(self):
        """As operators do when the store went back to a copy."""
        for service in sorted(SERVERS) if self.enabled else ():
            await self.write_order(service)

    def servers_of(self, service, is_meant):
        return [name for name, (of, *_) in sorted(self.soak.servers.items())
                if of == service and is_meant(self.version_of(name))]

    def version_of(self, server):
        return self.soak.versions.get(server, "v1")

    async def kill_others(self, service, target):
        await self.kill(service, lambda version: version != target, target)

    async def drain(self, rollout):
        await asyncio.sleep(DRAIN_AFTER_S)
        for name in self.servers_of(rollout.service,
                                    lambda version: version == rollout.target):
            await self.soak.register_server(name, "draining")
        await asyncio.sleep(DRAIN_S)
        base = next((version for version in map(self.version_of, self.servers_of(
            rollout.service, lambda version: (rollout.service, version)
            not in self.barred))), "v1")
        await self.kill(rollout.service,
                        lambda version: version == rollout.target, base)

    async def kill(self, service, is_meant, successor):
        """Requests of the killed servers may break off."""
        disturbance = self.soak.losses.begin_fault("kill server", "")
        while names := self.servers_of(service, is_meant):
            for name in names:
                self.retired[service, self.version_of(name)] = successor
                self.soak.servers.pop(name)
                self.soak.send_signal(name, signal.SIGKILL)
                await self.soak.post_to_store("/operator", {
                    "key": f"servers/{name}", "remove": True})
            # A fault may be starting another one of the version.
            await asyncio.sleep(DRAIN_AFTER_S)
        disturbance.finish()

    async def watch(self):
        while self.watching:
            for service in SERVERS:
                try:
                    self.note(await asyncio.wait_for(self.record(service), 0.3))
                except (OSError, EOFError, LookupError, ValueError,
                        asyncio.TimeoutError):
                    pass  # no record, or the store is away
            await asyncio.sleep(POLL_S)

    async def record(self, service):
        item = await self.soak.get_json(
            self.soak.store, f"/v1/kv-key?key=status%2Frollout%2F{service}")
        return json.loads(base64.b64decode(item["value"]))

    def note(self, record):
        now = time.monotonic()
        for version in record.get("barred", []):
            self.barred.setdefault((record["service"], version), now)
        rollout = self.rollouts.get(record["target"])
        if rollout is None:
            return
        state = record["state"]
        if rollout.state is None and state != "running":
            rollout.state, rollout.decided_at = state, now
            if state == "succeeded" and rollout.kind != "good":
                self.soak.add_violation(f"{rollout.target} ({rollout.kind}): "
                                        "a bad version succeeded")
        # A store that goes back to a copy may have lost the decision for a while.
        elif rollout.state not in (None, state) and not (
                state == "running" and any(
                    fault.end > rollout.decided_at
                    for fault in self.restores)):
            self.soak.add_violation(
                f"{rollout.target}: {rollout.state}, then {state}")

    def violations(self):
        if not self.enabled or "upgrade" in self.soak.modes:
            return  # older builds send requests to all versions
        begun, bad = self.read_log()
        for rollout in self.rollouts.values():
            self.soak.count(f"roll-outs {rollout.kind}, {rollout.state}")
            yield from self.check_decision(rollout)
            if rollout.kind != "good":
                yield from self.check_exposure(rollout, begun)
                yield from self.check_withdrawal(
                    rollout, begun, bad.get(rollout.target, []))
        for (service, version), since in self.barred.items():
            late = [at for at in self.begun_at(begun, service, version)
                    if at > since + WITHDRAW_S]
            if late:
                yield (f"{version} of {service}: {len(late)} requests, the first one "
                       f"{late[0] - since:.2f} s after it was barred")

    def read_log(self):
        """Requests that began, and the times of bad answers by version."""
        begun, bad = [], {}
        with open(self.soak.path("versions.log"), encoding="ascii") as f:
            for line in f:
                at, what, server, service, version = line.split()
                if what == "begun":
                    begun.append((float(at), server, service, version))
                else:
                    bad.setdefault(version, []).append(float(at))
        return sorted(begun), {v: sorted(times) for v, times in bad.items()}

    def check_decision(self, rollout):
        limit = rollout.begin + rollout.duration_s
        away = any(fault.begin < limit + DECIDE_SLACK_S and
                   fault.end > limit - rollout.duration_s / 4
                   for fault in self.store_faults)
        if away or rollout.superseded:
            return
        if rollout.state is None:
            yield f"{rollout.target}: not decided in time"
        elif (rollout.removed_at and rollout.state == "succeeded" and
              rollout.decided_at > rollout.removed_at + DECIDE_SLACK_S):
            yield f"{rollout.target}: succeeded without an order"

    @staticmethod
    def check_exposure(rollout, begun):
        limit = rollout.begin + rollout.duration_s
        versions = [version for at, _, service, version in begun
                    if service == rollout.service and
                    rollout.begin <= at <= limit]
        n = versions.count(rollout.target)
        if n > SHARE * len(versions) + SLACK:
            yield (f"{rollout.target} ({rollout.kind}): {n} of "
                   f"{len(versions)} requests")

    def check_withdrawal(self, rollout, begun, bad):
        for at in self.begun_at(begun, rollout.service, rollout.target):
            faults = [fault for fault in self.store_faults if fault.begin <= at]
            since = max([fault.end for fault in faults], default=0)
            late = sorted(t for t in bad if t > since)[N_BAD - 1:N_BAD]
            if late and at > late[0] + WITHDRAW_S:
                yield (f"{rollout.target} ({rollout.kind}): a request "
                       f"{at - late[0]:.2f} s after its bad answer {N_BAD}")
                return

    def begun_at(self, begun, service, version):
        """When a version got requests, but those that were held back."""
        proxies = self.soak.proxies_by_name
        return [at for at, server, *of in begun
                if of == [service, version] and
                not any(hold.begin < at < hold.end + RESEND_S
                        for hold in self.holds) and
                not any(begin < at < end + RESEND_S
                        for begin, end in proxies[server].held)]
