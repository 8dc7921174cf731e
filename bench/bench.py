#!/usr/bin/env python3
"""Benchmarks on one machine; prints one line `name value unit` per figure.

Usage: bench.py [SECTION ...]; sections: resume, shares, control, config,
traffic, spread (all by default).
Seeds are fixed. The suffix of a name is the policy, the variant or the size
that was measured.
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
# Between the stall timeouts of the latency and the economy policy, so that
# only the former resumes elsewhere.
PAUSE_S = 0.8
ENGINE_ARGS = ["--slots", str(SLOTS), "--token-ms", str(TOKEN_MS),
               "--prefill-us-per-token", str(PREFILL_US),
               "--cache-tokens", "20000"]


def print_figure(name, value, unit):
    print(f"{name} {value:.3f} {unit}", flush=True)


def percentile(values, fraction):
    values = sorted(values)
    return (values[int(fraction * (len(values) - 1) + 0.5)] if values
            else float("nan"))


def engine_work(system, engines):
    """Returns the work of the engines so far: (tokens, slot time in ms)."""
    tokens = slot_ms = 0.0
    for name in engines:
        _, stats = fleet.http_request("GET", system.url(name) + "/v1/stats")
        tokens += stats["prefilled"] + stats["decoded"]
        slot_ms += (stats["prefilled"] * PREFILL_US / 1000 +
                    stats["decoded"] * TOKEN_MS)
    return tokens, slot_ms


def start_system(system, policy, n_engines=ENGINES, n_daemons=DAEMONS,
                 engine_args=None):
    """Starts and configures the system; returns its engines and daemons."""
    system.start_platform()
    engines = [system.start_engine(i, engine_args or ENGINE_ARGS)
               for i in range(n_engines)]
    system.start_backend(0)
    daemons = system.start_daemons(n_daemons)
    version = system.apply_config(daemons[0],
                                  fleet.two_account_config(policy, policy))
    system.wait_config_in_effect(daemons, version)
    return engines, daemons


def generate_args(extra=()):
    return ["--model", "draft", "--requests", str(STREAMS),
            "--concurrency", str(STREAMS), "--min-tokens", str(TOKENS),
            "--max-tokens", str(TOKENS), "--prompt-words", str(PROMPT_WORDS),
            "--seed", "7", "--patience-s", "60", *extra]


def engine_with_average_load(system, engines):
    """Returns the engine whose number of runs is nearest to the mean."""
    loads = {
        n: fleet.http_request("GET", system.url(n) + "/v1/load")[1]["running"]
        for n in engines}
    mean = sum(loads.values()) / len(loads)
    return min(engines, key=lambda n: abs(loads[n] - mean))


def run_with_fault(policy, fault, settings=None, load_args=()):
    """Runs one load; fault is None, "reset", "freeze" or "pause".

    Returns the load generator's report, the engines' work and the time from
    the fault to each resume in ms. After a pause, streams may continue at the
    same engine, so the times do not measure how long the pause interrupted
    them.
    """
    with fleet.Fleet(settings) as system:
        engines, daemons = start_system(system, policy)
        load = system.start_load(daemons, "lone-star",
                                 generate_args(load_args))
        time.sleep(FAULT_AFTER_S)
        victim = engine_with_average_load(system, engines)
        victim_work = engine_work(system, [victim])
        if fault == "reset":
            fault_at_ms = system.send_signal(victim)
        elif fault == "freeze":
            fault_at_ms = system.send_signal(victim, signal.SIGSTOP)
        elif fault == "pause":
            fault_at_ms = system.send_signal(victim, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            system.send_signal(victim, signal.SIGCONT)
        else:
            fault_at_ms = 0
        report = fleet.read_report(load, 120)
        running = [e for e in engines
                   if fault not in ("reset", "freeze") or e != victim]
        work = engine_work(system, running)
        if fault in ("reset", "freeze"):
            work = (work[0] + victim_work[0], work[1] + victim_work[1])
    latencies = [r["at_ms"] - fault_at_ms for r in report["resumes"]
                 if r["at_ms"] >= fault_at_ms]
    if report["whole"] != STREAMS:
        print(f"# {policy} {fault}: {report['whole']} of {STREAMS} whole, "
              f"errors {report['errors'][:2]}", flush=True)
    return report, work, latencies


VARIANTS = [
    ("latency", "latency", None, ()),
    ("economy", "economy", None, ()),
    ("fixed_timeout", "economy", {"stall_timeout_ms": 5000}, ()),
    ("restart", "economy", {"max_attempts": 1}, ("--restart",)),
]


def bench_resume():
    report, baseline, _ = run_with_fault("latency", None)
    print_figure("failure_free_interval_p95", report["interval_p95_ms"], "ms")
    # Lower bound of the latency: prefill of the prompt and the tokens decoded
    # so far at another engine, and 1 ms for a round trip.
    decoded = FAULT_AFTER_S * 1000 / TOKEN_MS
    print_figure("resume_floor",
                 (PROMPT_WORDS + decoded) * PREFILL_US / 1000 + 1, "ms")
    for name, policy, settings, load_args in VARIANTS:
        for fault in ("reset", "freeze", "pause"):
            report, work, latencies = run_with_fault(policy, fault, settings,
                                                     load_args)
            if fault == "pause":
                print_figure(f"pause_gap_max.{name}",
                             report["interval_max_ms"], "ms")
            else:
                print_figure(f"resume_{fault}_p95.{name}",
                             percentile(latencies, 0.95), "ms")
            print_figure(f"resume_{fault}_count.{name}", len(latencies),
                         "streams")
            print_figure(f"extra_use_{fault}.{name}", work[0] / baseline[0],
                         "ratio")
            print_figure(f"extra_slot_time_{fault}.{name}",
                         work[1] / baseline[1], "ratio")
            print_figure(f"broken_{fault}.{name}",
                         report["broken"] + report["failed"], "answers")


# Section shares: 2 engines of 8 slots, answers of 40 tokens at 20 ms.
SHARE_ENGINE_ARGS = ["--slots", "8", "--token-ms", "20",
                     "--prefill-us-per-token", "100"]
SHARE_TOKENS = 40
SHARE_S = 10
SMALL_ACCOUNT_RATE = 2.0


def run_shares(factor, static):
    """Runs two accounts; one sends factor times the capacity.

    Returns the reports of the small and the flooding account and the capacity
    in tokens/s.
    """
    capacity = 2 * 8 / (SHARE_TOKENS * 0.020)
    with fleet.Fleet({"queue_ms": 2000}) as system:
        _, daemons = start_system(system, "economy", n_engines=2,
                                  engine_args=SHARE_ENGINE_ARGS)
        if static:
            # Limit each account to half of the slots, split over the daemons.
            limit = max(1, 2 * 8 // 2 // DAEMONS)
            system.apply_config(daemons[0], {"accounts": {
                "lone-star": {"max_in_flight": limit},
                "cyflogres": {"max_in_flight": limit}}}, 1)
            system.wait_config_in_effect(daemons, 2)
        common = ["--model", "draft", "--min-tokens", str(SHARE_TOKENS),
                  "--max-tokens", str(SHARE_TOKENS), "--prompt-words", "50",
                  "--patience-s", "5"]
        rate = capacity * factor
        flood_load = system.start_load(daemons, "lone-star", common + [
            "--rate", f"{rate:.1f}", "--requests", str(int(rate * SHARE_S)),
            "--seed", "11"])
        small_load = system.start_load(daemons, "cyflogres", common + [
            "--rate", f"{SMALL_ACCOUNT_RATE}", "--requests",
            str(int(SMALL_ACCOUNT_RATE * SHARE_S)), "--seed", "12"])
        small_report = fleet.read_report(small_load, 90)
        flood_report = fleet.read_report(flood_load, 90)
    return small_report, flood_report, capacity * SHARE_TOKENS


def bench_shares():
    for factor in (1, 2, 4):
        for static in (False, True):
            suffix = "static" if static else "weighted"
            small, flood, capacity = run_shares(factor, static)
            name = f"_{factor}x.{suffix}"
            print_figure("small_account_p95" + name,
                         small["total_p95_ms"], "ms")
            print_figure("small_account_whole" + name, small["whole"],
                         "answers")
            goodput = ((small["tokens"] + flood["tokens"]) /
                       max(small["seconds"], flood["seconds"]) / capacity)
            print_figure("goodput" + name, goodput, "ratio")


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


def control_bytes(system, daemons):
    """Returns the control traffic of all daemons so far, by kind."""
    totals = dict.fromkeys(BYTE_KINDS, 0.0)
    for name in daemons:
        _, text = system.operator_request("GET", name, "/metrics")
        for kind, value in re.findall(
                r'^goldcrest_control_bytes\{kind="(\w+)"\} (\S+)$', str(text),
                re.MULTILINE):
            totals[kind] += float(value)
    return totals


def platform_calls(system):
    _, stats = fleet.http_request("GET", system.url("platform") + "/stats")
    return stats


def bench_control():
    for count in (5, 15, 45):
        with fleet.Fleet() as system:
            _, daemons = start_system(system, "latency",
                                      n_engines=CONTROL_ENGINES,
                                      n_daemons=count)
            time.sleep(2)
            pids = [system.processes[n].pid for n in daemons]
            calls_before = platform_calls(system)
            bytes_before = control_bytes(system, daemons)
            cpu_before = sum(cpu_s(pid) for pid in pids)
            time.sleep(IDLE_S)
            calls_after = platform_calls(system)
            bytes_after = control_bytes(system, daemons)
            cpu_after = sum(cpu_s(pid) for pid in pids)
            daemon_s = count * IDLE_S
            print_figure(f"control_bytes_per_s.{count}",
                         sum(bytes_after.values()) / daemon_s -
                         sum(bytes_before.values()) / daemon_s,
                         "B/s/daemon")
            for kind in BYTE_KINDS:
                print_figure(f"control_bytes_per_s_{kind}.{count}",
                             (bytes_after[kind] - bytes_before[kind]) /
                             daemon_s,
                             "B/s/daemon")
            print_figure(f"control_cpu.{count}",
                         (cpu_after - cpu_before) / daemon_s * 100, "%/daemon")
            print_figure(f"control_rss.{count}",
                         sum(resident_bytes(pid) for pid in pids) / count /
                         2**20,
                         "MiB")
            for kind in ("reads", "watches", "writes", "list"):
                print_figure(f"kv_{kind}_idle_per_daemon.{count}",
                             (calls_after[kind] - calls_before[kind]) /
                             daemon_s,
                             "calls/s")
            started_at = time.monotonic()
            version = system.apply_config(daemons[-1], {"instances": {
                "engine-0": {"labels": {"rack": "r1"}}}}, 1)
            system.wait_config_in_effect(daemons, version)
            print_figure(f"config_in_effect.{count}",
                         (time.monotonic() - started_at) * 1000, "ms")
            if count == 15:
                bench_bookings(system, daemons)


def bench_config():
    """Measures the configuration record and its application by its size."""
    with fleet.Fleet() as system:
        _, daemons = start_system(system, "latency", n_engines=2, n_daemons=5)
        version = 1
        for count in (10, 100, 1000):
            accounts = {f"account-{i}": {
                "key_sha256": fleet.sha256(f"key-{i}"), "weight": 1,
                "policy": "economy", "max_in_flight": 50}
                for i in range(count)}
            started_at = time.monotonic()
            version = system.apply_config(daemons[0], {"accounts": accounts},
                                          version)
            system.wait_config_in_effect(daemons, version)
            seconds = time.monotonic() - started_at
            _, doc = system.operator_request("GET", daemons[0], "/v1/config")
            print_figure(f"config_record.{count}",
                         len(json.dumps(doc, separators=(",", ":"))), "B")
            print_figure(f"config_change_in_effect.{count}", seconds * 1000,
                         "ms")
            # Of 5 daemons in 3 failure domains, each watches the record: a
            # failure domain has up to two watchers.
            pids = [system.processes[n].pid for n in daemons]
            cpu_before = sum(cpu_s(pid) for pid in pids)
            bytes_before = sum(control_bytes(system, daemons).values())
            time.sleep(IDLE_S)
            print_figure(f"config_watcher_cpu.{count}",
                         (sum(cpu_s(pid) for pid in pids) - cpu_before) / 5 /
                         IDLE_S * 100,
                         "%/daemon")
            print_figure(f"config_watcher_bytes.{count}",
                         (sum(control_bytes(system, daemons).values()) -
                          bytes_before) / 5 / IDLE_S,
                         "B/s/daemon")
            print_figure(f"config_watcher_rss.{count}",
                         sum(resident_bytes(pid) for pid in pids) / 5 / 2**20,
                         "MiB")


def bench_bookings(system, daemons):
    calls_before = platform_calls(system)
    load = system.start_load(daemons, "lone-star", [
        "--model", "draft", "--requests", "0", "--service", "bookings",
        "--path", "/bookings", "--bookings", "100", "--seed", "3"])
    report = fleet.read_report(load, 60)
    calls_after = platform_calls(system)
    print_figure("kv_writes_per_booking",
                 (calls_after["writes"] - calls_before["writes"]) / 100,
                 "calls")
    print_figure("kv_reads_per_booking",
                 (calls_after["reads"] - calls_before["reads"]) / 100, "calls")
    print_figure("bookings_done", report["done"], "of 100")


def bench_traffic():
    for streams in (100, 300, 900):
        args = ["--slots", "500", "--token-ms", "50",
                "--prefill-us-per-token", "1"]
        with fleet.Fleet() as system:
            _, daemons = start_system(system, "economy", n_engines=3,
                                      n_daemons=1, engine_args=args)
            pid = system.processes[daemons[0]].pid
            idle_bytes = resident_bytes(pid)
            cpu_before = cpu_s(pid)
            load = system.start_load(daemons, "lone-star", [
                "--model", "draft", "--requests", str(streams),
                "--concurrency", str(streams), "--min-tokens", "200",
                "--max-tokens", "200", "--prompt-words", "50", "--seed", "5"])
            time.sleep(8)
            loaded_bytes = resident_bytes(pid)
            report = fleet.read_report(load, 120)
            cpu_used = cpu_s(pid) - cpu_before
        print_figure(f"cpu_per_1000_tokens.{streams}",
                     cpu_used / report["tokens"] * 1e6, "ms")
        print_figure(f"memory_per_stream.{streams}",
                     (loaded_bytes - idle_bytes) / streams / 1024, "KiB")
        print_figure(f"interval_p95.{streams}", report["interval_p95_ms"],
                     "ms")
        print_figure(f"whole.{streams}", report["whole"], "answers")


# Section spread: 10 engines of 8 slots, answers of 40 tokens at 20 ms, 70% of
# the slots in use.
SPREAD_ENGINES = 10
SPREAD_RATE = 0.7 * SPREAD_ENGINES * 8 / (SHARE_TOKENS * 0.020)
SPREAD_S = 10


def bench_spread():
    """Measures placement by load reports: work per engine and latency."""
    for count in (3, 15):
        with fleet.Fleet() as system:
            engines, daemons = start_system(system, "economy",
                                            n_engines=SPREAD_ENGINES,
                                            n_daemons=count,
                                            engine_args=SHARE_ENGINE_ARGS)
            time.sleep(2)
            work_before = engine_work(system, engines)
            bytes_before = control_bytes(system, daemons)
            load = system.start_load(daemons, "lone-star", [
                "--model", "draft", "--min-tokens", str(SHARE_TOKENS),
                "--max-tokens", str(SHARE_TOKENS), "--prompt-words", "50",
                "--rate", f"{SPREAD_RATE:.1f}", "--requests",
                str(int(SPREAD_RATE * SPREAD_S)), "--seed", "21"])
            report = fleet.read_report(load, 90)
            bytes_after = control_bytes(system, daemons)
            work_after = engine_work(system, engines)
        work = [work_after[n] - work_before[n] for n in engines]
        mean = sum(work) / len(work)
        print_figure(f"spread_max_over_mean.{count}", max(work) / mean,
                     "ratio")
        print_figure(f"spread_min_over_mean.{count}", min(work) / mean,
                     "ratio")
        print_figure(f"spread_first_token_p95.{count}",
                     report["first_token_p95_ms"], "ms")
        print_figure(f"spread_total_p95.{count}", report["total_p95_ms"], "ms")
        print_figure(f"spread_whole.{count}", report["whole"], "answers")
        print_figure(f"spread_load_bytes_per_s.{count}",
                     (bytes_after["load"] - bytes_before["load"]) / count /
                     report["seconds"],
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
