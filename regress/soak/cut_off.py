"""Checks that callers of daemons without links to servers are served.

A lookup counts if its daemon had no other disturbance in the CONTACT_S before it
and until its end, as the rules have it, and neither had some daemon with links.
Builds without a listener for requests of other daemons neither pass on lookups nor
take them: a violation that ends if they are left out is named after them.
"""

import asyncio
import math
import time

CONTACT_S = 3.0
LEARN_S = 2.0  # a daemon has this time after the begin of a cut
# Without other faults before a calm cut, so that its daemons are in touch later.
CALM_BEFORE_S = CONTACT_S - LEARN_S
MIN_LOOKUPS = 12  # sent in a cut, fewer prove nothing
MIN_SERVED = 2 / 3  # of the part that is served elsewhere
LOOKUP_INTERVAL_S = 0.025
# Faults of one daemon, and those of all of them.
DAEMON_FAULTS = ("kill daemon", "stop daemon", "pause daemon", "proxy store",
                 "proxy caller")
STORE_FAULTS = ("store", "restore")


class Interval:
    """A time in which some daemons are cut off or disturbed."""

    def __init__(self, names):
        self.begin = time.monotonic()
        self.end = math.inf
        self.names = names

    def finish(self):
        self.end = time.monotonic()


class CutOffCheck:
    """What the lookups of a soak test met, and the faults meanwhile."""

    def __init__(self, daemons, builds):
        self.daemons = daemons  # by name
        self.builds = builds  # see upgrade.py
        self.n_checked = 0  # cuts with enough lookups
        self.cuts = []
        self.disturbances = []
        self.lookups = []  # (name of the daemon, begin, end, served)

    def begin_fault(self, kind, daemon):
        names = ([daemon] if kind in DAEMON_FAULTS else
                 sorted(self.daemons) if kind in STORE_FAULTS else [])
        self.disturbances.append(Interval(names))
        return self.disturbances[-1]

    def begin_cut(self, names):
        self.cuts.append(Interval(names))
        return self.cuts[-1]

    async def run_lookups(self, soak):
        """Sends lookups to all daemons in turn, without waiting for them."""
        tasks = []
        while not soak.stop:
            for name in sorted(self.daemons):
                tasks.append(asyncio.ensure_future(
                    self.send_lookup(soak, name, f"lookup-{len(tasks)}")))
                await asyncio.sleep(LOOKUP_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def send_lookup(self, soak, name, run_id):
        begin = time.monotonic()
        try:
            served = await asyncio.wait_for(soak.send_try(
                "look", "ok", run_id, "key-1", self.daemons[name][3].port), 12)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            served = b""
        self.lookups.append((name, begin, time.monotonic(), bool(served)))

    def in_touch(self, name, begin, end):
        return not any(name in d.names and d.begin < end and
                       d.end > begin - CONTACT_S for d in self.disturbances)

    def violations(self):
        return [text for cut in self.cuts if (text := self.check(cut))]

    def check(self, cut):
        text = self.compare(cut, False)
        if text and not self.compare(cut, True):
            return f"old build without links among daemons: {text}"
        return text

    def compare(self, cut, passing_on):
        """passing_on: only at builds that pass on, beside another of them."""
        def links(daemon, at):
            return not passing_on or self.builds.has(daemon, "forward", at)
        served = {True: [], False: []}  # by whether the daemon was cut off
        sound = sorted(set(self.daemons) - set(cut.names))
        for name, begin, end, was_served in self.lookups:
            if (cut.begin + LEARN_S <= begin < cut.end and
                    self.in_touch(name, begin, end) and links(name, begin) and
                    any(self.in_touch(s, begin, end) and links(s, begin)
                        for s in sound)):
                served[name in cut.names].append(was_served)
        there, elsewhere = served[True], served[False]
        if len(there) < MIN_LOOKUPS or not elsewhere:
            return None
        self.n_checked += not passing_on
        if (sum(there) * len(elsewhere) >=
                MIN_SERVED * sum(elsewhere) * len(there)):
            return None
        return (f"{sum(there)} of {len(there)} lookups served at daemons that "
                f"were cut off, {sum(elsewhere)} of {len(elsewhere)} elsewhere")
