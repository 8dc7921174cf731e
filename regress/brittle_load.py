#!/usr/bin/env python3
"""Makes stand-in servers brittle, or checks what became of them.

usage: brittle_load.py set PATH JSON PORTS_FILE...
       brittle_load.py falls SINCE PORTS_FILE...
       brittle_load.py turned_away SINCE PORTS_FILE...
       brittle_load.py used SINCE UNTIL PORTS_FILE...

"set" posts JSON to PATH of the servers. "falls" and "turned_away" count since the
monotonic time SINCE, in all servers together. "used" prints the part of the time
from SINCE to UNTIL in which the slots of the servers worked, down time included.
"""

import json
import sys
import time
import urllib.error
import urllib.request

BACK_S = 5  # a server that fell has started again by then


def call(ports_file, path, body=None):
    with open(ports_file, encoding="ascii") as f:
        url = f"http://127.0.0.1:{f.read().strip()}{path}"
    end = time.monotonic() + BACK_S
    while True:
        try:
            with urllib.request.urlopen(url, body) as response:
                return json.load(response)
        except (ConnectionError, urllib.error.URLError):
            if time.monotonic() > end:
                raise
            time.sleep(0.1)


def used(since, until, servers):
    work = sum(max(min(end, until) - max(begin, since), 0)
               for server in servers for begin, end in server["work"])
    return work / (until - since) / sum(s["slots"] for s in servers)


if sys.argv[1] == "set":
    for file in sys.argv[4:]:
        call(file, sys.argv[2], sys.argv[3].encode())
elif sys.argv[1] == "used":
    print(f"{used(float(sys.argv[2]), float(sys.argv[3]), [call(file, '/stats') for file in sys.argv[4:]]):.3f}")
else:
    print(sum(t >= float(sys.argv[2]) for file in sys.argv[3:]
              for t in call(file, "/stats")[sys.argv[1]]))
