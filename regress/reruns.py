#!/usr/bin/env python3
"""Prints the number of requests that ran more often than they may, and their ids.

usage: reruns.py RUNS_LOG DAEMON_LOG...

Requests whose id begins with "look" may run again after an attempt that failed, which a
daemon logs (1114). All others may run once.
"""

import collections
import json
import sys

ATTEMPT_FAILED = 1114


def failed_attempts(paths):
    failed = collections.Counter()
    for path in paths:
        with open(path, encoding="utf-8") as f:
            for line in f:
                if f'"event":{ATTEMPT_FAILED}' in line:
                    failed[json.loads(line)["request"]] += 1
    return failed


with open(sys.argv[1], encoding="utf-8") as runs_log:
    runs = collections.Counter(line.split()[0] for line in runs_log
                               if line.endswith(" app\n"))
allowed = failed_attempts(sys.argv[2:])
bad = [request for request, n in runs.items()
       if n > 1 + (allowed[request] if request.startswith("look") else 0)]
print(len(bad), *bad)
