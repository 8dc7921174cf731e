"""Bad software versions of a stand-in server.

POST /bad {"work_ms", "fail", "slow", "share", "after_requests", "path"} makes each
request take work_ms (default 0) before its first byte; of an engine also each event
but the first. From the request after "after_requests" (default 0) on, requests whose
path begins with "path" (default: all) fail with status 500 with the probability
"fail", and a part "share" (default 1) of them takes "slow" times as long. {} ends it.
"""

import asyncio
import random
import time


class BadVersion:
    def __init__(self, log):
        self.log = log  # called with "bad" at a bad answer
        self.work_s = 0
        self.command = {}
        self.n = 0  # requests since the command
        self.bad = []  # times of answers that were bad

    def configure(self, command):
        self.command = command
        self.work_s = command.get("work_ms", 0) / 1000
        self.n = 0

    def is_bad(self, path):
        self.n += 1
        return (self.n > self.command.get("after_requests", 0) and
                path.startswith(self.command.get("path", "/")))

    async def delay(self, path):
        """Takes the request's time. Returns whether the request fails, and the time
        that each event takes."""
        work_s, fails = self.work_s, False
        if self.command and self.is_bad(path):
            if random.random() < self.command.get("share", 1):
                work_s *= self.command.get("slow", 1)
            fails = random.random() < self.command.get("fail", 0)
        await asyncio.sleep(work_s)
        if fails or work_s > self.work_s:
            self.bad.append(round(time.monotonic(), 3))
            self.log("bad")
        return fails, work_s
