"""Slots of a stand-in server, and its fall when it turns too many requests away.

POST /slots {"slots", "work_ms", "room"} makes requests take work_ms each in one of
the slots; "room" more may wait, others are turned away. POST /brittle {"n", "room",
"after_ms"} makes all answers bear Server-Brittle: n (any text). From after_ms later
only "room" requests may wait, and the server falls when it turns more than n away
within a second; it starts again after RESTART_S and is still brittle then. {} ends it.
POST /fall makes the server fall at once.
"""

import asyncio
import collections
import time

import wire

HEADER = "Server-Brittle"
RESTART_S = 3
WINDOW_S = 1


class Slots:
    def __init__(self):
        self.slots = 0  # 0: requests don't take any
        self.work_s = 0
        self.usual_room = 0
        self.brittle = None
        self.brittle_from = 0
        self.running = 0
        self.waiting = collections.deque()
        self.turned_away = []  # times
        self.recent = collections.deque()
        self.falls = []  # times
        self.done = []  # (begin, end) of the work of a slot

    def configure(self, path, command):
        if path == "/slots":
            self.slots = command["slots"]
            self.work_s = command["work_ms"] / 1000
            self.usual_room = command["room"]
            return
        self.brittle = command or None
        self.brittle_from = (time.monotonic() +
                             command.get("after_ms", 0) / 1000)
        wire.common_headers.pop(HEADER, None)
        wire.common_headers.update(self.headers())

    def headers(self):
        return {HEADER: self.brittle["n"]} if self.brittle else {}

    def is_short(self):
        return self.brittle and time.monotonic() >= self.brittle_from

    def room(self):
        return self.brittle["room"] if self.is_short() else self.usual_room

    def is_full(self):
        return (self.running >= self.slots and
                len(self.waiting) >= self.room())

    def turn_away(self):
        """Returns whether the server falls by it."""
        now = time.monotonic()
        self.turned_away.append(round(now, 3))
        self.recent.append(now)
        while self.recent[0] <= now - WINDOW_S:
            self.recent.popleft()
        if not self.is_short() or len(self.recent) <= float(self.brittle["n"]):
            return False
        self.recent.clear()
        self.falls.append(round(now, 3))
        return True

    async def work(self, reader):
        """Returns whether the caller stayed until the end of the work."""
        gone = asyncio.ensure_future(reader.read(1))
        try:
            if self.running >= self.slots:
                turn = asyncio.get_running_loop().create_future()
                self.waiting.append(turn)
                await asyncio.wait([turn, gone],
                                   return_when=asyncio.FIRST_COMPLETED)
                if not turn.done():
                    self.waiting.remove(turn)
                    return False
            else:
                self.running += 1
            begin = time.monotonic()
            await asyncio.wait([gone], timeout=self.work_s)
            self.done.append((round(begin, 3), round(time.monotonic(), 3)))
            if self.waiting:
                self.waiting.popleft().set_result(None)
            else:
                self.running -= 1
            return not gone.done()
        finally:
            gone.cancel()
            try:
                await gone
            except (asyncio.CancelledError, ConnectionError):
                pass

    def stats(self):
        return {"falls": self.falls, "turned_away": self.turned_away,
                "work": self.done, "slots": self.slots}
