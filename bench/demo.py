#!/usr/bin/env python3
"""Generations through three daemons while an engine and a daemon are killed."""

import sys
import time

import fleet

ENGINES = 5
DAEMONS = 3
ENGINE_ARGS = ["--slots", "8", "--token-ms", "20",
               "--prefill-us-per-token", "500"]
TIMEOUT_S = 50


def decoded_tokens(run, names):
    total = 0
    for name in names:
        _, stats = fleet.http("GET", run.url(name) + "/v1/stats")
        total += stats["decoded"]
    return total


def percentile(values, p):
    values = sorted(values)
    return values[int(p * (len(values) - 1) + 0.5)] if values else 0.0


def main():
    begun = time.monotonic()
    with fleet.Fleet() as run:
        run.start_platform()
        engines = [run.start_engine(i, ENGINE_ARGS) for i in range(ENGINES)]
        run.start_backend(0)
        daemons = run.start_daemons(DAEMONS)
        version = run.configure(daemons[0], fleet.two_user_config())
        run.wait_in_effect(daemons, version)

        common = ["--model", "draft", "--min-tokens", "100",
                  "--max-tokens", "250", "--prompt-words", "80"]
        loads = [
            run.load(daemons, "lone-star", common + [
                "--kind", "household", "--requests", "24",
                "--concurrency", "12", "--seed", "1", "--service", "bookings",
                "--path", "/bookings", "--bookings", "60"]),
            run.load(daemons, "cyflogres", common + [
                "--kind", "payslip", "--requests", "24",
                "--concurrency", "12", "--seed", "2"])]
        time.sleep(2)
        lost = decoded_tokens(run, engines[:1])
        engine_died = run.kill(engines[0])
        time.sleep(2)
        daemon_died = run.kill(daemons[1])
        reports = [fleet.report(load, TIMEOUT_S) for load in loads]
        decoded = lost + decoded_tokens(run, engines[1:])
        _, effects = fleet.http("GET", run.url("backend-0") + "/effects")

    return show(reports, decoded, effects, engine_died, daemon_died,
                time.monotonic() - begun)


def show(reports, decoded, effects, engine_died, daemon_died, seconds):
    def total(field):
        return sum(r[field] for r in reports)

    resumes = [r for report in reports for r in report["resumes"]]
    after_engine = [r["at_ms"] - engine_died for r in resumes
                    if not r["reconnected"]
                    and engine_died <= r["at_ms"] < daemon_died]
    after_daemon = [r["at_ms"] - daemon_died for r in resumes
                    if r["reconnected"] and r["at_ms"] >= daemon_died]
    per_key = effects["keys"]
    doubled = sum(1 for n in per_key.values() if n > 1)
    told = reports[0]["keys"]
    # An effect that a caller was told had not happened.
    wrongly_refused = sum(1 for key, state in told.items()
                          if state == "not_run" and per_key.get(key, 0) > 0)
    missing = sum(1 for key, state in told.items()
                  if state == "done" and per_key.get(key, 0) != 1)
    bad = total("broken") + total("failed")

    rows = [
        ("answers whole", total("whole")),
        ("answers broken", total("broken")),
        ("answers failed", total("failed")),
        ("bookings done / not run / in doubt",
         f"{total('done')} / {total('not_run')} / {total('in_doubt')}"),
        ("effects doubled", doubled),
        ("effects missing or wrongly refused", missing + wrongly_refused),
        ("resumes after the engine's death", len(after_engine)),
        ("  latency p50 / max, ms", f"{percentile(after_engine, 0.5):.0f} / "
                                    f"{percentile(after_engine, 1):.0f}"),
        ("resumes after the daemon's death", len(after_daemon)),
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
    print(f"demo: {total('whole')} whole, {bad} broken, {doubled} doubled")
    return 1 if bad or doubled or missing or wrongly_refused else 0


if __name__ == "__main__":
    sys.exit(main())
