#!/usr/bin/env python3
"""Checks what servers got during a roll-out, and reads its record.

usage: rollout_load.py exposure SINCE UNTIL SHARE SLACK TARGET_FILES ALL_FILES
       rollout_load.py withdrawn SINCE N SECONDS TARGET_FILES
       rollout_load.py used SINCE TARGET_FILES
       rollout_load.py await STORE SERVICE STATE SECONDS [TARGET]
       rollout_load.py field STORE SERVICE NAME

Files are those with the ports of stand-in servers, separated by commas; times are of
the monotonic clock. "exposure" compares the requests that the target's servers began
with SHARE of all that the servers began from SINCE to UNTIL, and SLACK. "withdrawn"
looks for requests that began later than SECONDS after the target's N-th bad answer.
"used" prints how many requests began at the servers. "await" waits until the record
has the state (and the target), and prints both, or what the record has after SECONDS.
"""

import base64
import json
import sys
import time
import urllib.error
import urllib.request

POLL_S = 0.05


def stats(files):
    for file in files.split(","):
        with open(file, encoding="ascii") as f:
            url = f"http://127.0.0.1:{f.read().strip()}/stats"
        with urllib.request.urlopen(url) as response:
            yield json.load(response)


def times(files, name, since=0, until=float("inf")):
    return sorted(t for server in stats(files) for t in server[name]
                  if since <= t <= until)


def record(store, service):
    url = f"http://{store}/v1/kv-key?key=status%2Frollout%2F{service}"
    try:
        with urllib.request.urlopen(url) as response:
            return json.loads(base64.b64decode(json.load(response)["value"]))
    except (urllib.error.URLError, OSError, KeyError, ValueError):
        return {}


def exposure(since, until, share, slack, target_files, all_files):
    sent = len(times(target_files, "begun", since, until))
    everything = len(times(all_files, "begun", since, until))
    bound = share * everything + slack
    print("within the bound" if sent <= bound
          else f"{sent} of {everything}, more than {bound:.1f}")


def withdrawn(since, n, seconds, files):
    bad = times(files, "bad", since)
    if len(bad) < n:
        print("withdrawn")
        return
    late = times(files, "begun", bad[n - 1] + seconds)
    print("withdrawn" if not late else f"{len(late)} requests came later")


def await_state(store, service, state, seconds, target=None):
    end = time.monotonic() + seconds
    while True:
        found = record(store, service)
        done = (found.get("state") == state and
                target in (None, found.get("target")))
        if done or time.monotonic() > end:
            break
        time.sleep(POLL_S)
    print(found.get("state"), found.get("target"))
    if not done:
        print(json.dumps(found))


command, *args = sys.argv[1:]
if command == "exposure":
    exposure(*map(float, args[:4]), *args[4:])
elif command == "withdrawn":
    withdrawn(float(args[0]), int(args[1]), float(args[2]), args[3])
elif command == "used":
    print(len(times(args[1], "begun", float(args[0]))))
elif command == "await":
    await_state(*args[:3], float(args[3]), *args[4:])
else:
    print(record(args[0], args[1]).get(args[2]))
