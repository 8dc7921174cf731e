#!/usr/bin/env python3
"""Requests to servers that answer with a status that is none.

usage: status_calls.py ADDRESS ROUTE METHOD [PREFIX [SHAPES]]

Sends a request for each answer of standins/routed/statuses.py, or for those of the
given shapes only, with PREFIX before its name; one after another, as a server whose
answer failed gets none until it has reported its load again. Prints how often each outcome was seen: the status, "not run" if the answer says
so, "cut" if it lacks its end, and "late" if it came later than one that is sent on as
soon as the fault is known. The names of those that are no success and no 502 follow.
"""

import collections
import http.client
import os
import sys
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../standins/routed"))
import statuses  # noqa: E402

GAP_S = 0.03
# Below the time limit of each route.
LATE_S = 0.8


def request(address, route, method, name):
    since = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=10)
    cut = ""
    try:
        connection.request(method, f"/{route}/{name}", headers={
            "Host": "h.example", "Authorization": "Token key-1",
            "Goldcrestfield-Request-Id": f"{route}-{uuid.uuid4()}",
            "Goldcrestfield-Deadline-Ms": "3000"})
        response = connection.getresponse()
        try:
            response.read()
        except http.client.HTTPException:
            cut = " cut"
        ran = response.getheader("Goldcrestfield-Not-Executed")
        return (f"{response.status}{' not run' if ran else ''}{cut}"
                f"{' late' if time.monotonic() - since > LATE_S else ''}")
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


def main():
    address, route, method = sys.argv[1:4]
    prefix = sys.argv[4] if len(sys.argv) > 4 else "status-"
    shapes = sys.argv[5:] or statuses.SHAPES
    outcomes = collections.defaultdict(list)
    for name in statuses.names():
        if name.split("-")[1] in shapes:
            outcomes[request(address, route, method, prefix + name)].append(
                name)
            time.sleep(GAP_S)
    for outcome, names in sorted(outcomes.items()):
        more = "" if outcome in ("200", "502") else " " + " ".join(names)
        print(f"{outcome}: {len(names)}{more}")


if __name__ == "__main__":
    main()
