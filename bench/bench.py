#!/usr/bin/env python3
"""Measurements on one machine; prints lines of `name value unit`.

Usage: bench.py [SECTION ...]; sections: resume, shares, control, config,
traffic, spread.
Seeds are fixed. The suffix of a name is the policy or the baseline.
"""

import json
import os
import re
import signal
import sys
import time

import fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

ENGINES = 6
DAEMONS = 3
SLOTS = 16
TOKEN_MS = 30
PREFILL_US = 500
PROMPT_WORDS = 200
STREAMS = 30
TOKENS = 300
FAULT_AFTER_S = 4.0
# Shorter than the economy policy's wait, longer than the latency policy's.
PAUSE_S = 0.8
ENGINE_ARGS = ["--slots", str(SLOTS), "--token-ms", str(TOKEN_MS),
               "--prefill-us-per-token", str(PREFILL_US),
               "--cache-tokens", "20000"]


def line(name, value, unit):
    print(f"{name} {value:.3f} {unit}", flush=True)


def percentile(values, p):
    values = sorted(values)
    return values[int(p * (len(values) - 1) + 0.5)] if values else float("nan")


def engine_work(run, names):
    """Work of the engines so far: (tokens, ms of slot time)."""
    tokens = slot_ms = 0.0
    for name in names:
        _, stats = fleet.http("GET", run.url(name) + "/v1/stats")
        tokens += stats["prefilled"] + stats["decoded"]
        slot_ms += (stats["prefilled"] * PREFILL_US / 1000 +
                    stats["decoded"] * TOKEN_MS)
    return tokens, slot_ms


def start(run, policy, engines=ENGINES, daemons=DAEMONS, engine_args=None):
    run.start_platform()
    names = [run.start_engine(i, engine_args or ENGINE_ARGS)
             for i in range(engines)]
    run.start_backend(0)
    entries = run.start_daemons(daemons)
    version = run.configure(entries[0], fleet.two_user_config(policy, policy))
    run.wait_in_effect(entries, version)
    return names, entries


def generate_args(extra=()):
    return ["--model", "draft", "--requests", str(STREAMS),
            "--concurrency", str(STREAMS), "--min-tokens", str(TOKENS),
            "--max-tokens", str(TOKENS), "--prompt-words", str(PROMPT_WORDS),
            "--seed", "7", "--patience-s", "60", *extra]


def average_engine(run, names):
    """The engine whose number of runs is nearest to the mean."""
    loads = {n: fleet.http("GET", run.url(n) + "/v1/load")[1]["running"]
             for n in names}
    mean = sum(loads.values()) / len(loads)
    return min(names, key=lambda n: abs(loads[n] - mean))


def fault_run(policy, fault, settings=None, load_args=()):
    """One run; fault is None, "reset", "freeze" or "pause".

    Returns the load's report, the engines' work, and the latencies in ms. A
    pause has no latency of its own: a stream may go on at the same engine.
    """
    with fleet.Fleet(settings) as run:
        engines, entries = start(run, policy)
        load = run.load(entries, "lone-star", generate_args(load_args))
        time.sleep(FAULT_AFTER_S)
        victim = average_engine(run, engines)
        before = engine_work(run, [victim])
        if fault == "reset":
            at = run.kill(victim)
        elif fault == "freeze":
            at = run.kill(victim, signal.SIGSTOP)
        elif fault == "pause":
            at = run.kill(victim, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            run.kill(victim, signal.SIGCONT)
        else:
            at = 0
        out = fleet.report(load, 120)
        alive = [e for e in engines
                 if fault not in ("reset", "freeze") or e != victim]
        work = engine_work(run, alive)
        if fault in ("reset", "freeze"):
            work = (work[0] + before[0], work[1] + before[1])
    latencies = [r["at_ms"] - at for r in out["resumes"] if r["at_ms"] >= at]
    if out["whole"] != STREAMS:
        print(f"# {policy} {fault}: {out['whole']} of {STREAMS} whole, "
              f"errors {out['errors'][:2]}", flush=True)
    return out, work, latencies


VARIANTS = [
    ("latency", "latency", None, ()),
    ("economy", "economy", None, ()),
    ("fixed_timeout", "economy", {"stall_timeout_ms": 5000}, ()),
    ("restart", "economy", {"max_attempts": 1}, ("--restart",)),
]


def bench_resume():
    out, base, _ = fault_run("latency", None)
    line("failure_free_interval_p95", out["interval_p95_ms"], "ms")
    # Mean tokens that a new engine has to prefill, and one round trip.
    held = FAULT_AFTER_S * 1000 / TOKEN_MS
    line("resume_floor", (PROMPT_WORDS + held) * PREFILL_US / 1000 + 1, "ms")
    for name, policy, settings, load_args in VARIANTS:
        for fault in ("reset", "freeze", "pause"):
            out, work, latencies = fault_run(policy, fault, settings,
                                             load_args)
            if fault == "pause":
                line(f"pause_gap_max.{name}", out["interval_max_ms"], "ms")
            else:
                line(f"resume_{fault}_p95.{name}",
                     percentile(latencies, 0.95), "ms")
            line(f"resume_{fault}_count.{name}", len(latencies), "streams")
            line(f"extra_use_{fault}.{name}", work[0] / base[0], "ratio")
            line(f"extra_slot_time_{fault}.{name}", work[1] / base[1],
                 "ratio")
            line(f"broken_{fault}.{name}", out["broken"] + out["failed"],
                 "answers")


# Shares: 2 engines of 8 slots, answers of 40 tokens at 20 ms.
SHARE_ENGINE_ARGS = ["--slots", "8", "--token-ms", "20",
                     "--prefill-us-per-token", "100"]
SHARE_TOKENS = 40
SHARE_S = 10
SMALL_RATE = 2.0


def share_run(factor, static):
    capacity = 2 * 8 / (SHARE_TOKENS * 0.020)
    with fleet.Fleet({"queue_ms": 2000}) as run:
        _, entries = start(run, "economy", engines=2,
                           engine_args=SHARE_ENGINE_ARGS)
        if static:
            # Half of the slots for each account, split over the daemons.
            limit = max(1, 2 * 8 // 2 // DAEMONS)
            run.configure(entries[0], {"accounts": {
                "lone-star": {"max_in_flight": limit},
                "cyflogres": {"max_in_flight": limit}}}, 1)
            run.wait_in_effect(entries, 2)
        common = ["--model", "draft", "--min-tokens", str(SHARE_TOKENS),
                  "--max-tokens", str(SHARE_TOKENS), "--prompt-words", "50",
                  "--patience-s", "5"]
        rate = capacity * factor
        flood = run.load(entries, "lone-star", common + [
            "--rate", f"{rate:.1f}", "--requests", str(int(rate * SHARE_S)),
            "--seed", "11"])
        small = run.load(entries, "cyflogres", common + [
            "--rate", f"{SMALL_RATE}", "--requests",
            str(int(SMALL_RATE * SHARE_S)), "--seed", "12"])
        small_out = fleet.report(small, 90)
        flood_out = fleet.report(flood, 90)
    return small_out, flood_out, capacity * SHARE_TOKENS


def bench_shares():
    for factor in (1, 2, 4):
        for static in (False, True):
            suffix = "static" if static else "weighted"
            small, flood, capacity = share_run(factor, static)
            name = f"_{factor}x.{suffix}"
            line("small_account_p95" + name, small["total_p95_ms"], "ms")
            line("small_account_whole" + name, small["whole"], "answers")
            goodput = ((small["tokens"] + flood["tokens"]) /
                       max(small["seconds"], flood["seconds"]) / capacity)
            line("goodput" + name, goodput, "ratio")


def cpu_s(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as f:
        return int(f.read().split()[1]) * PAGE_BYTES


IDLE_S = 10
CONTROL_ENGINES = 35
BYTE_KINDS = ("config", "claims", "list", "load", "peers_sent",
              "peers_received")


def control_bytes(run, entries):
    """Control bytes of all daemons so far, by kind."""
    totals = dict.fromkeys(BYTE_KINDS, 0.0)
    for name in entries:
        _, text = run.operator("GET", name, "/metrics")
        for kind, value in re.findall(
                r'^goldcrest_control_bytes\{kind="(\w+)"\} (\S+)$', str(text),
                re.MULTILINE):
            totals[kind] += float(value)
    return totals


def platform_calls(run):
    _, stats = fleet.http("GET", run.url("platform") + "/stats")
    return stats


def bench_control():
    for count in (5, 15, 45):
        with fleet.Fleet() as run:
            _, entries = start(run, "latency", engines=CONTROL_ENGINES,
                               daemons=count)
            time.sleep(2)
            pids = [run.processes[n].pid for n in entries]
            calls = platform_calls(run)
            sent = control_bytes(run, entries)
            cpu = sum(cpu_s(p) for p in pids)
            time.sleep(IDLE_S)
            calls_after = platform_calls(run)
            sent_after = control_bytes(run, entries)
            cpu_after = sum(cpu_s(p) for p in pids)
            per = count * IDLE_S
            line(f"control_bytes_per_s.{count}",
                 sum(sent_after.values()) / per - sum(sent.values()) / per,
                 "B/s/daemon")
            for kind in BYTE_KINDS:
                line(f"control_bytes_per_s_{kind}.{count}",
                     (sent_after[kind] - sent[kind]) / per, "B/s/daemon")
            line(f"control_cpu.{count}", (cpu_after - cpu) / per * 100,
                 "%/daemon")
            line(f"control_rss.{count}",
                 sum(resident_bytes(p) for p in pids) / count / 2**20, "MiB")
            for kind in ("reads", "watches", "writes", "list"):
                line(f"kv_{kind}_idle_per_daemon.{count}",
                     (calls_after[kind] - calls[kind]) / per, "calls/s")
            begun = time.monotonic()
            version = run.configure(entries[-1], {"instances": {
                "engine-0": {"labels": {"rack": "r1"}}}}, 1)
            run.wait_in_effect(entries, version)
            line(f"config_in_effect.{count}",
                 (time.monotonic() - begun) * 1000, "ms")
            if count == 15:
                bench_bookings(run, entries)


def bench_config():
    """Size of the configuration record and time until it is in effect."""
    with fleet.Fleet() as run:
        _, entries = start(run, "latency", engines=2, daemons=5)
        version = 1
        for count in (10, 100, 1000):
            accounts = {f"account-{i}": {
                "key_sha256": fleet.sha256(f"key-{i}"), "weight": 1,
                "policy": "economy", "max_in_flight": 50}
                for i in range(count)}
            begun = time.monotonic()
            version = run.configure(entries[0], {"accounts": accounts},
                                    version)
            run.wait_in_effect(entries, version)
            seconds = time.monotonic() - begun
            _, doc = run.operator("GET", entries[0], "/v1/config")
            line(f"config_record.{count}",
                 len(json.dumps(doc, separators=(",", ":"))), "B")
            line(f"config_change_in_effect.{count}", seconds * 1000, "ms")
            # With 5 daemons in 3 failure domains every daemon is a watcher.
            pids = [run.processes[n].pid for n in entries]
            cpu = sum(cpu_s(p) for p in pids)
            sent = sum(control_bytes(run, entries).values())
            time.sleep(IDLE_S)
            line(f"config_watcher_cpu.{count}",
                 (sum(cpu_s(p) for p in pids) - cpu) / 5 / IDLE_S * 100,
                 "%/daemon")
            line(f"config_watcher_bytes.{count}",
                 (sum(control_bytes(run, entries).values()) - sent) / 5 /
                 IDLE_S, "B/s/daemon")
            line(f"config_watcher_rss.{count}",
                 sum(resident_bytes(p) for p in pids) / 5 / 2**20, "MiB")


def bench_bookings(run, entries):
    calls = platform_calls(run)
    load = run.load(entries, "lone-star", [
        "--model", "draft", "--requests", "0", "--service", "bookings",
        "--path", "/bookings", "--bookings", "100", "--seed", "3"])
    out = fleet.report(load, 60)
    after = platform_calls(run)
    line("kv_writes_per_booking", (after["writes"] - calls["writes"]) / 100,
         "calls")
    line("kv_reads_per_booking", (after["reads"] - calls["reads"]) / 100,
         "calls")
    line("bookings_done", out["done"], "of 100")


def bench_traffic():
    for streams in (100, 300, 900):
        args = ["--slots", "500", "--token-ms", "50",
                "--prefill-us-per-token", "1"]
        with fleet.Fleet() as run:
            _, entries = start(run, "economy", engines=3, daemons=1,
                               engine_args=args)
            pid = run.processes[entries[0]].pid
            idle = resident_bytes(pid)
            cpu = cpu_s(pid)
            load = run.load(entries, "lone-star", [
                "--model", "draft", "--requests", str(streams),
                "--concurrency", str(streams), "--min-tokens", "200",
                "--max-tokens", "200", "--prompt-words", "50", "--seed", "5"])
            time.sleep(8)
            busy = resident_bytes(pid)
            out = fleet.report(load, 120)
            used = cpu_s(pid) - cpu
        line(f"cpu_per_1000_tokens.{streams}", used / out["tokens"] * 1e6,
             "ms")
        line(f"memory_per_stream.{streams}", (busy - idle) / streams / 1024,
             "KiB")
        line(f"interval_p95.{streams}", out["interval_p95_ms"], "ms")
        line(f"whole.{streams}", out["whole"], "answers")


# Spread: 10 engines of 8 slots, answers of 40 tokens at 20 ms, 70% busy.
SPREAD_ENGINES = 10
SPREAD_RATE = 0.7 * SPREAD_ENGINES * 8 / (SHARE_TOKENS * 0.020)
SPREAD_S = 10


def bench_spread():
    """Placement by load reports: busiest engine over mean, and latency."""
    for count in (3, 15):
        with fleet.Fleet() as run:
            names, entries = start(run, "economy", engines=SPREAD_ENGINES,
                                   daemons=count,
                                   engine_args=SHARE_ENGINE_ARGS)
            time.sleep(2)
            before = engine_work(run, names)
            sent = control_bytes(run, entries)
            load = run.load(entries, "lone-star", [
                "--model", "draft", "--min-tokens", str(SHARE_TOKENS),
                "--max-tokens", str(SHARE_TOKENS), "--prompt-words", "50",
                "--rate", f"{SPREAD_RATE:.1f}", "--requests",
                str(int(SPREAD_RATE * SPREAD_S)), "--seed", "21"])
            out = fleet.report(load, 90)
            sent_after = control_bytes(run, entries)
            after = engine_work(run, names)
        work = [after[n] - before[n] for n in names]
        mean = sum(work) / len(work)
        line(f"spread_max_over_mean.{count}", max(work) / mean, "ratio")
        line(f"spread_min_over_mean.{count}", min(work) / mean, "ratio")
        line(f"spread_first_token_p95.{count}", out["first_token_p95_ms"],
             "ms")
        line(f"spread_total_p95.{count}", out["total_p95_ms"], "ms")
        line(f"spread_whole.{count}", out["whole"], "answers")
        line(f"spread_load_bytes_per_s.{count}",
             (sent_after["load"] - sent["load"]) / count / out["seconds"],
             "B/s/daemon")


SECTIONS = {"resume": bench_resume, "shares": bench_shares,
            "control": bench_control, "config": bench_config,
            "traffic": bench_traffic,
            "spread": bench_spread}


def main():
    for name in sys.argv[1:] or SECTIONS:
        SECTIONS[name]()


if __name__ == "__main__":
    main()
