#!/usr/bin/env python3
"""Runs generations and actions while an engine and a daemon are killed."""

import sys
import time

import fleet

ENGINES = 5
DAEMONS = 3
ENGINE_ARGS = ["--slots", "8", "--token-ms", "20",
               "--prefill-us-per-token", "500"]
TIMEOUT_S = 50


def decoded_tokens(system, names):
    total = 0
    for name in names:
        _, stats = fleet.http_request("GET", system.url(name) + "/v1/stats")
        total += stats["decoded"]
    return total


def percentile(values, fraction):
    values = sorted(values)
    return values[int(fraction * (len(values) - 1) + 0.5)] if values else 0.0


def main():
    started_at = time.monotonic()
    with fleet.Fleet() as system:
        system.start_platform()
        engines = [system.start_engine(i, ENGINE_ARGS) for i in range(ENGINES)]
        system.start_backend(0)
        daemons = system.start_daemons(DAEMONS)
        version = system.apply_config(daemons[0], fleet.two_account_config())
        system.wait_config_in_effect(daemons, version)

        common = ["--model", "draft", "--min-tokens", "100",
                  "--max-tokens", "250", "--prompt-words", "80"]
        loads = [
            system.start_load(daemons, "lone-star", common + [
                "--kind", "household", "--requests", "24",
                "--concurrency", "12", "--seed", "1", "--service", "bookings",
                "--path", "/bookings", "--bookings", "60"]),
            system.start_load(daemons, "cyflogres", common + [
                "--kind", "payslip", "--requests", "24",
                "--concurrency", "12", "--seed", "2"])]
        time.sleep(2)
        decoded_before_kill = decoded_tokens(system, engines[:1])
        engine_killed_ms = system.send_signal(engines[0])
        time.sleep(2)
        daemon_killed_ms = system.send_signal(daemons[1])
        reports = [fleet.read_report(load, TIMEOUT_S) for load in loads]
        decoded = decoded_before_kill + decoded_tokens(system, engines[1:])
        _, effects = fleet.http_request("GET",
                                        system.url("backend-0") + "/effects")

    return print_summary(reports, decoded, effects, engine_killed_ms,
                         daemon_killed_ms, time.monotonic() - started_at)


def print_summary(reports, decoded, effects, engine_killed_ms,
                  daemon_killed_ms, seconds):
    """Returns the exit status: 1 if an answer or an action went wrong."""
    def total(field):
        return sum(r[field] for r in reports)

    resumes = [r for report in reports for r in report["resumes"]]
    after_engine = [r["at_ms"] - engine_killed_ms for r in resumes
                    if not r["reconnected"]
                    and engine_killed_ms <= r["at_ms"] < daemon_killed_ms]
    after_daemon = [r["at_ms"] - daemon_killed_ms for r in resumes
                    if r["reconnected"] and r["at_ms"] >= daemon_killed_ms]
    effects_per_key = effects["keys"]
    duplicated = sum(1 for n in effects_per_key.values() if n > 1)
    outcomes = reports[0]["keys"]
    # Reported as not run, although the backend server executed them.
    wrong_not_run = sum(1 for key, state in outcomes.items()
                        if state == "not_run"
                        and effects_per_key.get(key, 0) > 0)
    # Reported as done, although they were not executed exactly once.
    wrong_done = sum(1 for key, state in outcomes.items()
                     if state == "done" and effects_per_key.get(key, 0) != 1)
    bad = total("broken") + total("failed")

    rows = [
        ("answers whole", total("whole")),
        ("answers broken", total("broken")),
        ("answers failed", total("failed")),
        ("bookings done / not run / in doubt",
         f"{total('done')} / {total('not_run')} / {total('in_doubt')}"),
        ("actions with two or more effects", duplicated),
        ("actions reported wrongly", wrong_done + wrong_not_run),
        ("resumes after the engine was killed", len(after_engine)),
        ("  latency p50 / max, ms", f"{percentile(after_engine, 0.5):.0f} / "
                                    f"{percentile(after_engine, 1):.0f}"),
        ("resumes after the daemon was killed", len(after_daemon)),
        ("  latency p50 / max, ms", f"{percentile(after_daemon, 0.5):.0f} / "
                                    f"{percentile(after_daemon, 1):.0f}"),
        ("tokens delivered", total("tokens")),
        ("extra tokens decoded", decoded - total("tokens")),
        ("seconds", f"{seconds:.1f}")]
    for name, value in rows:
        print(f"{name:<38} {value:>14}")
    for report in reports:
        for error in report["errors"]:
            print("error:", error)
    print(f"demo: {total('whole')} whole, {bad} broken, {duplicated} doubled")
    return 1 if bad or duplicated or wrong_done or wrong_not_run else 0


if __name__ == "__main__":
    sys.exit(main())
