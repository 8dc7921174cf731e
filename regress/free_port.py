#!/usr/bin/env python3
"""Ports for the daemons of tests.

usage: free_port.py PID

Prints a port that no other test on this machine has and that can be bound. It stays the
test's until its process PID has ended. The ports are below the ephemeral range, from
which an outgoing connection could take that of a daemon that is started again.
"""

import fcntl
import os
import random
import socket
import sys

FIRST_PORT = 10000
END_PORT = 20000
# One file a port, with the id of the process that has it.
CLAIMS = f"/tmp/goldcrest-test-ports-{os.getuid()}"


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass
    return True


def claim(port, owner):
    """Returns False if a running process has the port."""
    path = os.path.join(CLAIMS, str(port))
    try:
        with open(path, encoding="ascii") as f:
            if is_running(int(f.read())):
                return False
    except FileNotFoundError:
        pass
    with open(path, "w", encoding="ascii") as f:
        f.write(str(owner))
    return True


def can_bind(port):
    with socket.socket() as s:
        try:
            s.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port(owner):
    os.makedirs(CLAIMS, exist_ok=True)
    with open(os.path.join(CLAIMS, "lock"), "w", encoding="ascii") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        while True:
            port = random.randrange(FIRST_PORT, END_PORT)
            if can_bind(port) and claim(port, owner):
                return port


if __name__ == "__main__":
    if len(sys.argv) != 2 or not sys.argv[1].isdigit():
        sys.exit("usage: free_port.py PID")
    print(free_port(int(sys.argv[1])))
