#!/usr/bin/env python3
"""Computes the table of docs/CAPACITY.md from benchmark results.

docs/capacity.txt has the lines that bench.py printed (name value unit).
Prints the table; with --check, compares it with the page, and with --write,
writes it to the page.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FIGURES = os.path.join(ROOT, "docs", "capacity.txt")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
BEGIN = "<!-- computed: bench/capacity.py --write -->\n"
END = "<!-- end of computed table -->\n"

# Deployment size expected in two years (docs/design.md section 1.6).
DAEMONS = 2300
REPLICAS = 6000
REQUESTS_PER_S = 31000
TOKENS_PER_S = 9.1e6
TOKEN_INTERVAL_S = 0.068
ACCOUNTS = 4500
DOMAINS = 29
CHANGES_PER_DAY = 10000
MAX_CONTROL_BYTES_PER_S = 6000
MAX_CONTROL_CPU_PERCENT = 4.4
MAX_CONTROL_MIB = 256
DAY_S = 86400

# Capacity of the platform's key-value service (docs/design.md section 1.4; 300
# stands for its "several hundred" writes).
MAX_KV_READS_PER_S = 2000
MAX_KV_WRITES_PER_S = 300

# As in the settings and constants of the daemon.
PEERS_PER_INTERVAL = 8  # receivers of heartbeats, if over 64 daemons are known
WATCHERS_PER_DOMAIN = 2


def read_figures():
    figures = {}
    with open(FIGURES) as f:
        for row in f:
            if row.strip() and not row.startswith("#"):
                name, value, _ = row.split(None, 2)
                figures[name] = float(value)
    return figures


def fit_line(figures, name, sizes):
    """Fits a line by least squares; returns (value at size 0, slope)."""
    values = [figures[f"{name}.{n}"] for n in sizes]
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    slope = (sum((x - mean_x) * (y - mean_y)
                 for x, y in zip(sizes, values)) /
             sum((x - mean_x) ** 2 for x in sizes))
    return mean_y - slope * mean_x, slope


def verdict(value, limit):
    if value <= limit:
        return "carries"
    return f"misses by {value / limit:.1f}"


def rows(figures):
    """Yields (role, quantity, value, verdict on its limit, mechanism)."""
    fleet_sizes = (5, 15, 45)
    tokens = TOKENS_PER_S / DAEMONS
    streams = TOKENS_PER_S * TOKEN_INTERVAL_S / DAEMONS
    cpu_token = max(figures[f"cpu_per_1000_tokens.{n}"]
                    for n in (100, 300, 900))
    memory = max(figures[f"memory_per_stream.{n}"] for n in (100, 300, 900))
    yield ("entry", "requests", f"{REQUESTS_PER_S / DAEMONS:.1f} /s", "",
           "filter chain")
    yield ("entry", "tokens passed", f"{tokens:.0f} /s", "", "relay")
    yield ("entry", "processor for tokens",
           f"{tokens * cpu_token / 1e4:.0f}% of a core", "",
           "one traffic thread")
    yield ("entry", "streams in flight", f"{streams:.0f}", "",
           "one object a stream")
    yield ("entry", "memory for streams", f"{streams * memory / 1024:.0f} MiB",
           "", "prefix and buffers")
    per_replica = TOKENS_PER_S * TOKEN_INTERVAL_S / REPLICAS
    yield ("entry", "streams moved when a replica dies",
           f"{per_replica:.0f}", "", "prefix sent to another engine")
    lost_streams = TOKENS_PER_S * TOKEN_INTERVAL_S / DOMAINS
    yield ("entry", "resumes a daemon when a failure domain dies",
           f"{lost_streams / (DAEMONS * (1 - 1 / DOMAINS)):.0f}", "",
           "cursor; retry budget covers every stream once")

    _, per_peer = fit_line(figures, "control_bytes_per_s_peers_sent",
                           fleet_sizes)
    peer_bytes = 2 * per_peer * PEERS_PER_INTERVAL
    yield ("peer", "heartbeat bytes, 8 peers an interval",
           f"{peer_bytes:.0f} B/s",
           verdict(peer_bytes, MAX_CONTROL_BYTES_PER_S),
           "random subset (not run above 45 daemons)")
    total = figures["control_bytes_per_s.45"]
    yield ("control", "all bytes at 45 daemons, measured", f"{total:.0f} B/s",
           verdict(total, MAX_CONTROL_BYTES_PER_S),
           "heartbeats to all while at most 64 are known")
    load = figures["control_bytes_per_s_load.45"]
    yield ("load reader", "bytes", f"{load:.0f} B/s",
           verdict(load, MAX_CONTROL_BYTES_PER_S),
           "bounded polls of the subset")
    listed = figures["control_bytes_per_s_list.45"]
    yield ("list reader", "bytes at rest", f"{listed:.0f} B/s",
           verdict(listed, MAX_CONTROL_BYTES_PER_S), "blocking query")

    base, per_account = fit_line(figures, "config_record", (10, 100, 1000))
    record = base + per_account * ACCOUNTS
    yield ("configuration", "record", f"{record / 1000:.0f} kB",
           verdict(record, 1e6), "one key of the service")
    record_bytes_per_s = record * CHANGES_PER_DAY / DAY_S
    yield ("configuration", "bytes of whole records",
           f"{record_bytes_per_s:.0f} B/s",
           verdict(record_bytes_per_s, MAX_CONTROL_BYTES_PER_S),
           "whole record to each daemon; changes alone would carry it")
    at_accounts = {}
    for name in ("bytes", "cpu", "rss"):
        base, per_account = fit_line(figures, "config_watcher_" + name,
                                     (10, 100, 1000))
        at_accounts[name] = base + per_account * ACCOUNTS
    yield ("watcher", "bytes", f"{at_accounts['bytes'] / 1000:.0f} kB/s",
           verdict(at_accounts["bytes"], MAX_CONTROL_BYTES_PER_S),
           "whole record each read; a small version key would carry it")
    yield ("watcher", "processor", f"{at_accounts['cpu']:.1f}% of a core",
           verdict(at_accounts["cpu"], MAX_CONTROL_CPU_PERCENT),
           "one parse a read")
    yield ("watcher", "memory", f"{at_accounts['rss']:.0f} MiB",
           verdict(at_accounts["rss"], MAX_CONTROL_MIB), "one parsed record")
    watchers = DOMAINS * WATCHERS_PER_DOMAIN
    reads = watchers * figures["kv_reads_idle_per_daemon.5"]
    yield ("key-value service", "reads of watchers", f"{reads:.0f} /s",
           verdict(reads, MAX_KV_READS_PER_S),
           "two watchers a failure domain")
    lists = DAEMONS * figures["kv_list_idle_per_daemon.45"]
    yield ("instance list", "calls", f"{lists:.0f} /s",
           verdict(lists, MAX_KV_READS_PER_S),
           "every daemon reads; watchers passing changes on would carry it")
    actions = MAX_KV_WRITES_PER_S / figures["kv_writes_per_booking"]
    yield ("key-value service", "actions without batching",
           f"{actions:.0f} /s ({100 * actions / REQUESTS_PER_S:.1f}% of "
           "requests)", "", "one record a shard; a batch is 2 calls")

    cpu_0, cpu_n = fit_line(figures, "control_cpu", fleet_sizes)
    cpu = cpu_0 + cpu_n * 64
    yield ("control", "processor at 64 known daemons",
           f"{cpu:.1f}% of a core", verdict(cpu, MAX_CONTROL_CPU_PERCENT),
           "one control thread")
    rss_0, rss_n = fit_line(figures, "control_rss", fleet_sizes)
    rss = rss_0 + rss_n * DAEMONS
    yield ("control", "memory with 2,300 members", f"{rss:.0f} MiB",
           verdict(rss, MAX_CONTROL_MIB), "member table")


def table(figures):
    out = ["| role | quantity | at the size | limit | mechanism |",
           "|---|---|---|---|---|"]
    out += ["| " + " | ".join(row) + " |" for row in rows(figures)]
    return "\n".join(out) + "\n"


def main():
    computed = table(read_figures())
    if "--check" not in sys.argv and "--write" not in sys.argv:
        print(computed, end="")
        return 0
    with open(PAGE) as f:
        page = f.read()
    begin = page.index(BEGIN) + len(BEGIN)
    end = page.index(END)
    if "--write" in sys.argv:
        with open(PAGE, "w") as f:
            f.write(page[:begin] + computed + page[end:])
        return 0
    if page[begin:end] == computed:
        print("docs/CAPACITY.md matches docs/capacity.txt")
        return 0
    print("docs/CAPACITY.md does not match docs/capacity.txt")
    return 1


if __name__ == "__main__":
    sys.exit(main())
