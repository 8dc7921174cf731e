"""Replaces daemons of older builds one after the other while the soak runs.

The seed chooses the order and whether the upgrade goes through, halts halfway
for a while, or is taken back. Without older builds, all daemons run the new one.
"""

import asyncio
import functools
import os
import random
import signal
import subprocess
import time

TOP = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
NEW = "new"
WAYS = ("through", "halt", "back")
KILL_SHARE = 0.2  # of the daemons to replace are killed while they stop


class Upgrade:
    """The build of each daemon, and which build a request went to."""

    def __init__(self, soak, seed, commits, directory):
        self.soak = soak
        # The series of other faults must not depend on this mode.
        self.random = random.Random(f"upgrade {seed}")
        self.commits = commits
        self.trees = {NEW: TOP}
        for commit in commits:
            built = subprocess.run(
                [f"{TOP}/regress/old_build.sh", commit, directory],
                check=False, stdout=subprocess.PIPE, text=True)
            if built.returncode != 0:
                raise SystemExit(f"no build of {commit}")
            self.trees[commit] = os.path.dirname(os.path.dirname(built.stdout))
        self.builds = {}  # by daemon, those of their next start
        self.starts = []  # (daemon, build, time)
        self.n_old_crashes = 0  # by a deadly request at older builds
        self.tries = {}  # run id -> [build, daemon, versions of events]

    def start(self, daemon, settings):
        """Returns the program and the settings that its build knows."""
        if daemon not in self.builds:
            self.builds[daemon] = self.random.choice(self.commits or [NEW])
        build = self.builds[daemon]
        self.starts.append((daemon, build, time.monotonic()))
        with open(self.soak.path("builds.log"), "a", encoding="ascii") as f:
            f.write(f"{time.time():.3f} {daemon} {build}\n")
        return (f"{self.trees[build]}/goldcrestd/goldcrestd",
                {name: value for name, value in settings.items()
                 if self.knows(build, name)})

    @functools.lru_cache(maxsize=None)
    def knows(self, build, setting):
        path = f"{self.trees[build]}/lib/routed_settings.c"
        with open(path, encoding="ascii") as f:
            return f'"{setting}"' in f.read()

    def has(self, daemon, setting, at):
        """True if the build of the daemon at this time knows the setting."""
        return self.knows([build for name, build, since in self.starts
                           if name == daemon and since <= at][-1], setting)

    def begin_try(self, run_id, port):
        daemon = next(name for name, (*_, proxy) in self.soak.daemons.items()
                      if proxy.port == port)
        self.tries[run_id] = [self.builds[daemon], daemon, ()]

    def end_try(self, run_id, versions):
        self.tries[run_id][2] = [version.decode() for version in versions]

    def add_crashes(self, build, n):
        self.n_old_crashes += n if build != NEW else 0

    async def run(self):
        if not self.commits:
            return
        order = self.random.sample(sorted(self.builds), len(self.builds))
        way = self.random.choice(WAYS)
        n = (len(order) if way == "through" else
             self.random.randint(1, len(order) - (way == "halt")))
        before = dict(self.builds)
        self.soak.count(f"upgrade {way} {n}")
        for daemon in order[:n]:
            await self.replace(daemon, NEW)
        if way != "through":
            await asyncio.sleep(self.random.uniform(2, 5))
        for daemon in order[n:] if way == "halt" else ():
            await self.replace(daemon, NEW)
        for daemon in reversed(order[:n]) if way == "back" else ():
            await self.replace(daemon, before[daemon])

    async def replace(self, daemon, build):
        soak = self.soak
        await soak.disturb.wait()
        while daemon in soak.restarting:
            await asyncio.sleep(0.05)
        disturbance = soak.cut_off_check.begin_fault("stop daemon", daemon)
        self.builds[daemon] = build
        restart = asyncio.ensure_future(
            soak.restart_daemon(daemon, signal.SIGTERM))
        if self.random.random() < KILL_SHARE:
            stopped = soak.processes[daemon]
            await asyncio.sleep(self.random.uniform(0, 1))
            if stopped.returncode is None:
                stopped.kill()
        await restart
        disturbance.finish()
        await asyncio.sleep(self.random.uniform(0.3, 1.5))

    def check_daemons(self):
        for daemon in sorted(self.builds):
            status = self.soak.processes[daemon].returncode
            if status is not None:
                self.soak.add_violation(f"{daemon}: {self.builds[daemon]} "
                                        f"build ended with {status}")

    def name_build(self, text):
        """Names the builds that a violation's request went to, if one is old."""
        run_id = text.split(":")[0]
        tries = [a_try for try_id, a_try in self.tries.items()
                 if f"{try_id}-".startswith(f"{run_id}-")]
        if all(build == NEW for build, *_ in tries):
            return text
        names = [" ".join([build, "at", daemon, *versions])
                 for build, daemon, versions in tries]
        return f"old build ({', '.join(names)}): {text}"
