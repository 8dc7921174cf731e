"""Holds a process to a share of one processor, as a container's quota does: once it
has used that share of a period, it is stopped until the next one.

usage: small_share.py PID SHARE SECONDS
"""

import os
import signal
import sys
import time

PERIOD_S = 0.1
POLL_S = 0.002


def used_s(pid):
    """Processor time of all threads of the process."""
    ns = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/schedstat") as f:
                ns += int(f.read().split()[0])
        except FileNotFoundError:
            pass  # the thread has ended
    return ns / 1e9


def hold(pid, share, seconds):
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            period_end = time.monotonic() + PERIOD_S
            allowed = used_s(pid) + share * PERIOD_S
            os.kill(pid, signal.SIGCONT)
            while used_s(pid) < allowed and time.monotonic() < period_end:
                time.sleep(POLL_S)
            if time.monotonic() < period_end:
                os.kill(pid, signal.SIGSTOP)
                time.sleep(max(0, period_end - time.monotonic()))
    finally:
        os.kill(pid, signal.SIGCONT)


if __name__ == "__main__":
    try:
        hold(int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3]))
    except (FileNotFoundError, ProcessLookupError):
        pass  # the process has ended
