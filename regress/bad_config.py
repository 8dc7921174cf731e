#!/usr/bin/env python3
"""Prints an operator's write of a configuration that can't be used, or only just.

usage: bad_config.py KIND VERSION

KIND:
  many       100,000 routes
  largest    as large as a response of the store may be, 8 MiB
  larger     one byte more
  cut        ends within a route
  cut_end    lacks its last bracket
  twice      two routes with the same host and path prefix
  keys       four keys of 1 MB
  names      the names of two members have 1 MB
  nul        2 MB of NUL
"""

import base64
import json
import sys

MAX_RESPONSE_BYTES = 8 << 20


def route(name, path):
    return {"name": name, "host": "h.example", "path_prefix": path,
            "kind": "idempotent", "service": "app", "max_attempts": 2,
            "timeout_ms": 1500, "target_latency_ms": 300}


def config(version, n_more=0):
    return {"version": version,
            "routes": [route("look", "/look/")] +
            [route(f"more-{i}", f"/more{i}/") for i in range(n_more)],
            "services": [{"name": "app", "max_connections": 50}],
            "tenants": [{"name": "north", "api_keys": ["key-1"]}]}


# A response to a watch with this value alone, and to a list, is at most as long as the
# limit: the rest of the response has under 1,000 bytes.
def padded(version, response_bytes):
    text = json.dumps(config(version))
    room = (response_bytes - 1000) // 4 * 3
    return text + " " * (room - len(text))


def text_of(kind, version):
    if kind == "many":
        return json.dumps(config(version, 100000))
    if kind == "largest":
        return padded(version, MAX_RESPONSE_BYTES)
    if kind == "larger":
        return padded(version, MAX_RESPONSE_BYTES + 2000)
    if kind == "cut":
        return json.dumps(config(version, 50))[:3000]
    if kind == "cut_end":
        return json.dumps(config(version, 50))[:-1]
    record = config(version, 50)
    if kind == "twice":
        record["routes"][20] = route("other", "/more10/")
    elif kind == "keys":
        record["tenants"][0]["api_keys"] += [c * 1000000 for c in "abcd"]
    elif kind == "names":
        record["a" * 1000000] = 1
        record["routes"][20]["b" * 1000000] = 1
    elif kind == "nul":
        return "\0" * 2000000
    return json.dumps(record)


text = text_of(sys.argv[1], int(sys.argv[2])).encode()
print(json.dumps({"key": "op/config",
                  "bytes": base64.b64encode(text).decode()}))
