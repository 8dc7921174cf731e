#!/usr/bin/env python3
"""Long uploads to servers that answer before they have read them, without a length, and
reset the connection.

usage: early_answers.py ADDRESS ROUTE BODY_BYTES PREFIX

Sends a request for each way in WAYS, with PREFIX before its name. Prints how many got no
answer that a caller would take for a whole success, and the names of those that did.
"""

import concurrent.futures
import sys

import head_cuts

WAYS = ["now", "bare", "late", "old", "close", "continue", "continue-late", "end",
        "end-bare", "end-old", "end-close", "continue-end"]
CALLS = 4  # at once


def main():
    address, route, n_body, prefix = sys.argv[1:5]
    n = 0
    with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
        calls = [(way, pool.submit(head_cuts.request, address, route, "POST",
                                   int(n_body), prefix + way))
                 for way in WAYS]
        for way, call in calls:
            n += not call.result()
            if call.result():
                print("taken for whole:", way)
    print(n, "of", len(calls))


if __name__ == "__main__":
    main()
