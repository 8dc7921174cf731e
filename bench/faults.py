#!/usr/bin/env python3
"""System tests with injected faults and real processes.

Each case starts a fleet, runs generations and actions of two client accounts
for about 10 s, injects one or two faults at times drawn from the seed, and
compares the outcomes reported to the callers with what the stand-ins executed.

Prints one line per case: name and seed; answers that were whole, failed or
broken (corrupt); doubled actions (with two or more effects); longest gap
between two tokens in ms; resumes seen by callers; actions done, not run and in
doubt.
"""

import argparse
import concurrent.futures
import random
import shutil
import signal
import sys
import threading
import time

import fleet

DAEMONS = 3
ENGINES = 4
ENGINE_ARGS = ["--slots", "8", "--token-ms", "20",
               "--prefill-us-per-token", "300"]
LOAD_ARGS = ["--model", "draft", "--rate", "5", "--requests", "50",
             "--min-tokens", "40", "--max-tokens", "160",
             "--prompt-words", "60", "--service", "bookings",
             "--path", "/bookings", "--bookings", "150",
             "--patience-s", "20"]
LOAD_TIMEOUT_S = 75
# A departing engine gets no new runs after this time (docs/design.md section
# 1.2, invariant 6).
DEPART_LIMIT_S = 5
# An accepted configuration change is in effect on every daemon within this
# time (invariant 8; the time is a requirement on the system).
IN_EFFECT_LIMIT_S = 8
# Output resumes within this time after a failure (docs/design.md section 1.6).
GAP_LIMIT_MS = 6000
POLL_S = 0.1
CHANGE_INTERVAL_S = 0.7
PAIRS_PER_ROUND = 12
# Cases of regress/system_faults.t: name and seed.
FIXED_CASES = [("engine_killed", 1), ("daemon_killed", 2),
               ("engine_foreign+lost_writes", 3),
               ("platform_outage+operator_race", 4),
               ("engine_departs+daemon_paused_3", 5), ("daemon_stopped", 6),
               ("daemon_paused_3+daemon_paused_3", 70)]


class Case:
    """A fleet with the observations and failures of one case."""

    def __init__(self, name, seed):
        self.name = name
        self.seed = seed
        self.rng = random.Random(f"{seed}/{name}")
        self.system = fleet.Fleet(keep_logs=True)
        self.lock = threading.Lock()
        self.case_ended = threading.Event()
        self.faults_ended = threading.Event()
        self.failures = []
        self.expected_down = set()  # daemons that a fault stops or kills
        self.paused = set()  # daemons
        self.accepted_labels = {}  # version -> label set by the change
        self.n_changes = 0
        self.departed = []  # (engine, time it was marked as departing)
        # Departing engine -> its runs DEPART_LIMIT_S after it was marked.
        self.runs_at_limit = {}
        self.whole = self.failed = self.broken = self.doubled = 0
        self.gap_ms = 0.0
        self.resumes = 0
        self.actions = {"done": 0, "not_run": 0, "in_doubt": 0}
        self.errors = []

    def add_failure(self, text):
        with self.lock:
            if text not in self.failures:
                self.failures.append(text)

    def running_daemons(self):
        with self.lock:
            return [d for d in self.daemons
                    if d not in self.expected_down and d not in self.paused]

    def start(self):
        system = self.system
        system.start_platform()
        self.engines = [system.start_engine(i, ENGINE_ARGS)
                        for i in range(ENGINES)]
        system.start_backend(0)
        self.daemons = system.start_daemons(DAEMONS)
        version = system.apply_config(self.daemons[0],
                                      fleet.two_account_config())
        system.wait_config_in_effect(self.daemons, version)
        # The two faults of a case hit different processes.
        self.engine_order = self.rng.sample(self.engines, ENGINES)
        self.daemon_order = self.rng.sample(self.daemons, DAEMONS)

    def inject_fault(self, instance, body):
        status, text = fleet.http_request(
            "POST", self.system.url(instance) + "/faults", body)
        if status >= 300:
            raise RuntimeError(f"fault {body} rejected by {instance}: "
                               f"{status} {text}")

    def apply_change(self, daemon, patch=None, version=None):
        """Changes the configuration; returns the version or None.

        Every change sets a different label, so that a lost change is detected.
        """
        with self.lock:
            self.n_changes += 1
            label = f"c{self.n_changes}"
        try:
            if version is None:
                status, doc = self.system.operator_request("GET", daemon,
                                                           "/v1/config")
                if status != 200:
                    return None
                version = doc["version"]
            full = {"instances": {self.engines[0]: {"labels": {label: "1"}}}}
            for name, value in (patch or {}).items():
                full["instances"].setdefault(name, {}).update(value)
            status, doc = self.system.operator_request(
                "PATCH", daemon, "/v1/config", full, version)
        except (OSError, ValueError):
            return None  # it is unknown whether the change was written
        if status != 200:
            return None
        with self.lock:
            twice = doc["version"] in self.accepted_labels
            self.accepted_labels[doc["version"]] = label
        if twice:
            self.add_failure(f"version {doc['version']} accepted twice")
        return doc["version"]

    def monitor_versions(self, daemon):
        """Checks that the version at a daemon never decreases.

        After a restart, this holds once the configuration is in effect.
        """
        highest_seen = 0
        process = self.system.processes[daemon]
        highest_in_process = 0
        while not self.case_ended.wait(POLL_S):
            try:
                _, doc = self.system.operator_request("GET", daemon,
                                                      "/v1/status")
                version, in_effect = doc["version"], doc["in_effect"]
            except (OSError, ValueError, TypeError, KeyError):
                continue
            if self.system.processes[daemon] is not process:
                process = self.system.processes[daemon]
                highest_in_process = 0
                continue  # the old or the new process may have answered
            if version < highest_in_process or (in_effect and
                                                version < highest_seen):
                self.add_failure(
                    f"{daemon}: version {version} after "
                    f"{max(highest_seen, highest_in_process)}")
            highest_in_process = max(highest_in_process, version)
            highest_seen = max(highest_seen, version)

    def make_changes(self):
        rng = random.Random(f"{self.seed}/changes")
        while not self.faults_ended.wait(CHANGE_INTERVAL_S):
            live = self.running_daemons()
            if live:
                self.apply_change(rng.choice(live))

    def check_in_effect(self):
        """Checks that running daemons apply all accepted changes in time."""
        deadline = time.monotonic() + IN_EFFECT_LIMIT_S
        wanted = max(self.accepted_labels, default=0)
        behind = None
        while True:
            behind = [d for d in self.running_daemons()
                      if not self.is_in_effect(d, wanted)]
            if not behind or time.monotonic() > deadline:
                break
            time.sleep(POLL_S)
        if behind:
            self.add_failure(f"version {wanted} not in effect within "
                             f"{IN_EFFECT_LIMIT_S} s at {', '.join(behind)}")
            return
        for daemon in self.running_daemons():
            _, doc = self.system.operator_request("GET", daemon, "/v1/config")
            config = doc.get("config", doc)
            labels = config["instances"].get(
                self.engines[0], {}).get("labels", {})
            lost = set(self.accepted_labels.values()) - set(labels)
            if lost:
                self.add_failure(f"{daemon}: accepted changes lost: {lost}")

    def is_in_effect(self, daemon, version):
        try:
            _, doc = self.system.operator_request("GET", daemon, "/v1/status")
            return doc["version"] >= version and doc["in_effect"]
        except (OSError, ValueError, TypeError, KeyError):
            return False

    def count_engine_runs(self, engine):
        try:
            _, stats = fleet.http_request(
                "GET", self.system.url(engine) + "/v1/stats")
            return stats["runs"]
        except OSError:
            return None

    def record_runs_at_limit(self, engine):
        if self.case_ended.wait(DEPART_LIMIT_S):
            return
        runs = self.count_engine_runs(engine)
        if runs is not None:
            self.runs_at_limit[engine] = runs

    def check_departures(self):
        for engine, runs in self.runs_at_limit.items():
            now = self.count_engine_runs(engine)
            if now is not None and now > runs:
                self.add_failure(f"{engine}: {now - runs} runs started later "
                                 f"than {DEPART_LIMIT_S} s after it was "
                                 "marked as departing")

    def check_reports(self, reports, faults):
        effects = fleet.http_request(
            "GET", self.system.url("backend-0") + "/effects")[1]
        effects_per_key = effects["keys"]
        outcomes = {k: v for r in reports for k, v in r["keys"].items()}
        for report in reports:
            self.whole += report["whole"]
            self.failed += report["failed"]
            self.broken += report["broken"]
            self.gap_ms = max(self.gap_ms, report["interval_max_ms"])
            if report["interval_max_ms"] > GAP_LIMIT_MS:
                self.add_failure(f"gap of {report['interval_max_ms']:.0f} ms "
                                 "between two tokens")
            self.resumes += len(report["resumes"])
            for state in self.actions:
                self.actions[state] += report[state]
            self.errors += report["errors"]
            ended = report["whole"] + report["failed"] + report["broken"]
            if ended != report["requests"] or report["requests"] < 50:
                self.add_failure(f"{report['requests']} generations started, "
                                 f"{ended} ended")
            if report["untyped"]:
                self.add_failure(f"{report['untyped']} errors without a type")
        self.doubled = sum(1 for n in effects_per_key.values() if n > 1)
        if self.broken:
            self.add_failure(f"{self.broken} answers corrupt or mixed up")
        if self.doubled or effects["without_key"]:
            self.add_failure(f"{self.doubled} keys with two or more effects, "
                             f"{effects['without_key']} effects without a key")
        unknown_keys = set(effects_per_key) - set(outcomes)
        if unknown_keys:
            self.add_failure(f"{len(unknown_keys)} effects of unknown "
                             "idempotency keys")
        wrong_keys = [k for k, s in outcomes.items()
                      if s == "not_run" and effects_per_key.get(k, 0)]
        if wrong_keys:
            self.add_failure(f"reported not_run but executed: {wrong_keys}")
        wrong_keys = [k for k, s in outcomes.items()
                      if s == "done" and effects_per_key.get(k, 0) != 1]
        if wrong_keys:
            self.add_failure(
                f"reported done but not executed exactly once: {wrong_keys}")
        if not any(s == "done" for s in outcomes.values()) or not self.whole:
            self.add_failure("no action was done or no answer was whole")
        only_planned_stops = not any(
            f.startswith("daemon_") and f != "daemon_stopped" for f in faults)
        if "daemon_stopped" in faults and only_planned_stops:
            reconnects = sum(1 for r in reports for resume in r["resumes"]
                             if resume["reconnected"])
            if reconnects:
                self.add_failure(
                    f"{reconnects} streams disconnected by a planned stop")

    def check_processes(self):
        """Checks that daemons exited only when a fault ended them."""
        for daemon in self.daemons:
            status = self.system.processes[daemon].poll()
            if status is not None and daemon not in self.expected_down:
                self.add_failure(
                    f"{daemon} exited unexpectedly: status {status}")

    def run_fault(self, name, victims, at, rng):
        time.sleep(at)
        try:
            FAULTS[name](self, victims, rng)
        except Exception as err:  # fails the case
            self.add_failure(f"fault {name}: {err!r}")

    def execute(self):
        faults = self.name.split("+")
        self.start()
        plan = []
        at = self.rng.uniform(1.5, 3.5)
        for i, name in enumerate(faults):
            victims = (self.engine_order[i], self.daemon_order[i])
            plan.append((name, victims, at, random.Random(self.rng.random())))
            at += self.rng.uniform(0, 2)
        loads = [self.system.start_load(self.daemons, account, LOAD_ARGS + [
                    "--kind", kind, "--seed", str(2 * self.seed + i)])
                 for i, (account, kind) in enumerate(
                     [("lone-star", "household"), ("cyflogres", "payslip")])]
        try:
            self.run_plan(plan, loads, faults)
        finally:
            for load in loads:
                if load.poll() is None:
                    load.kill()
                    load.wait()

    def run_plan(self, plan, loads, faults):
        monitor_threads = [threading.Thread(target=self.monitor_versions,
                                            args=[d])
                           for d in self.daemons]
        monitor_threads.append(threading.Thread(target=self.make_changes))
        fault_threads = [threading.Thread(target=self.run_fault, args=p)
                         for p in plan]
        for thread in monitor_threads + fault_threads:
            thread.start()
        with concurrent.futures.ThreadPoolExecutor(len(loads)) as pool:
            reports = [pool.submit(fleet.read_report, load, LOAD_TIMEOUT_S)
                       for load in loads]
            try:
                for thread in fault_threads:
                    thread.join()
                self.faults_ended.set()
                monitor_threads[-1].join()  # the last change has been answered
                self.check_in_effect()
                reports = [r.result() for r in reports]
            finally:
                self.faults_ended.set()
                self.case_ended.set()
                for thread in monitor_threads:
                    thread.join()
        self.check_reports(reports, faults)
        self.check_departures()
        self.check_processes()


def engine_killed(case, victims, rng):
    case.system.send_signal(victims[0])


def engine_stopped(case, victims, rng):
    case.system.send_signal(victims[0], signal.SIGSTOP)
    time.sleep(rng.uniform(3, 6))
    case.system.send_signal(victims[0], signal.SIGCONT)


def engine_frozen(case, victims, rng):
    ms = rng.randrange(2000, 6000)
    case.inject_fault(victims[0], {"fault": "freeze", "ms": ms})
    time.sleep(ms / 1000)


def inject_stream_faults(case, victims, rng, **members):
    """Injects a fault into several runs of one engine, one after another."""
    for _ in range(6):
        case.inject_fault(victims[0],
                          {"after": rng.randrange(0, 30), **members})
        time.sleep(0.5)


def engine_cut(case, victims, rng):
    inject_stream_faults(case, victims, rng, fault="cut",
                         lose_run=rng.random() < 0.5)


def engine_garbage(case, victims, rng):
    inject_stream_faults(case, victims, rng, fault="garbage")


def engine_repeated(case, victims, rng):
    inject_stream_faults(case, victims, rng, fault="repeat")


def engine_foreign(case, victims, rng):
    inject_stream_faults(case, victims, rng, fault="foreign")


def backend_cut(case, victims, rng):
    """Cuts or delays responses of the backend server."""
    for _ in range(6):
        case.inject_fault("backend-0", {"fault": rng.choice(["cut_before",
                                                             "cut_after"])})
        case.inject_fault("backend-0", {"fault": "delay", "ms": 500})
        time.sleep(0.5)


def daemon_killed(case, victims, rng):
    daemon = victims[1]
    with case.lock:
        case.expected_down.add(daemon)
    case.system.send_signal(daemon)
    time.sleep(rng.uniform(0.5, 2))
    case.system.start_daemon(daemon)
    with case.lock:
        case.expected_down.discard(daemon)


def pause_daemon(case, daemon, seconds):
    with case.lock:
        case.paused.add(daemon)
    case.system.send_signal(daemon, signal.SIGSTOP)
    time.sleep(seconds)
    case.system.send_signal(daemon, signal.SIGCONT)
    with case.lock:
        case.paused.discard(daemon)


def daemon_paused_3(case, victims, rng):
    pause_daemon(case, victims[1], 3)


def daemon_paused_8(case, victims, rng):
    pause_daemon(case, victims[1], 8)


def daemon_stopped(case, victims, rng):
    daemon = victims[1]
    with case.lock:
        case.expected_down.add(daemon)
    case.system.send_signal(daemon, signal.SIGTERM)
    status = case.system.processes[daemon].returncode
    if status != 0:
        case.add_failure(
            f"{daemon}: exit status {status} after a planned stop")


def platform_outage(case, victims, rng):
    ms = rng.randrange(3000, 6000)
    case.inject_fault("platform", {"fault": "outage", "ms": ms,
                                   "cut": rng.random() < 0.5})
    time.sleep(ms / 1000)


def platform_slow(case, victims, rng):
    ms = rng.randrange(3000, 6000)
    case.inject_fault("platform", {
        "fault": "delay", "ms": rng.randrange(100, 800), "for_ms": ms,
        "answers": rng.random() < 0.5})
    time.sleep(ms / 1000)


def lost_writes(case, victims, rng):
    for _ in range(5):
        case.inject_fault("platform", {"fault": "lose", "count": 4})
        time.sleep(0.6)


def list_lag(case, victims, rng):
    """The instance list still has a dead engine and lacks a new one."""
    case.inject_fault("platform", {"fault": "list_lag", "ms": 4000})
    case.system.send_signal(victims[0])
    status, text = fleet.http_request(
        "PUT", case.system.url("platform") +
        "/v1/agent/service/deregister/" + victims[0])
    if status != 200:
        raise RuntimeError(f"deregister: {status} {text}")
    case.system.start_engine(ENGINES + int(victims[0].split("-")[1]),
                             ENGINE_ARGS)
    time.sleep(4)


def operator_race(case, victims, rng):
    """Two operators change one version at two daemons; one may succeed."""
    for _ in range(8):
        live = case.running_daemons()
        if len(live) < 2:
            time.sleep(0.3)
            continue
        pair = rng.sample(live, 2)
        try:
            status, doc = case.system.operator_request("GET", pair[0],
                                                       "/v1/config")
        except OSError:
            continue
        if status != 200:
            continue
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            versions = list(pool.map(
                lambda d: case.apply_change(d, version=doc["version"]), pair))
        if None not in versions:
            case.add_failure(
                f"two changes of one version accepted: {versions}")
        time.sleep(0.3)


def engine_departs(case, victims, rng):
    """Marks an engine as departing; retries a change that was not accepted."""
    patch = {victims[0]: {"departing": True}}
    for _ in range(100):
        live = case.running_daemons()
        if live and case.apply_change(rng.choice(live), patch):
            case.record_runs_at_limit(victims[0])
            return
        time.sleep(0.1)
    case.add_failure("no daemon accepted the planned departure")


def engine_leaves(case, victims, rng):
    """Registers an engine as leaving; the instance list lags by 1 s."""
    case.system.register(victims[0], "engine", {
        "failure_domain": "a", "kind": "engine"}, state="leaving")
    time.sleep(1)
    case.record_runs_at_limit(victims[0])


FAULTS = {f.__name__: f for f in (
    engine_killed, engine_stopped, engine_frozen, engine_cut, engine_garbage,
    engine_repeated, engine_foreign, engine_departs, engine_leaves,
    backend_cut, daemon_killed, daemon_paused_3, daemon_paused_8,
    daemon_stopped, platform_outage, platform_slow, lost_writes, list_lag,
    operator_race)}


def run_case(name, seed):
    """Runs one case and prints its line; returns whether it passed."""
    case = Case(name, seed)
    with case.system:
        try:
            case.execute()
        except Exception as err:  # fails the case
            case.add_failure(repr(err))
    print(f"{name} seed {seed} whole {case.whole} failed {case.failed} "
          f"broken {case.broken} doubled {case.doubled} "
          f"gap {case.gap_ms:.0f} resumes {case.resumes} actions "
          f"{'/'.join(str(n) for n in case.actions.values())}", flush=True)
    for failure in case.failures:
        print(f"  FAILED: {failure}", flush=True)
    if case.failures:
        print(f"  logs: {case.system.dir}", flush=True)
    else:
        shutil.rmtree(case.system.dir)
    for error in sorted(set(case.errors)):
        print(f"  error: {error}", flush=True)
    return not case.failures


def cases_for_seed(seed):
    """Returns every single fault, then some pairs drawn from the seed."""
    pairs = [f"{a}+{b}" for a in FAULTS for b in FAULTS if a <= b]
    return list(FAULTS) + random.Random(seed).sample(pairs, PAIRS_PER_ROUND)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1,
                        help="seed of the first round (1)")
    parser.add_argument("--case", action="append",
                        help="fault or two joined by +; may be repeated")
    parser.add_argument("--rounds", type=int, default=1,
                        help="number of rounds, each with the next seed (1)")
    parser.add_argument("--fixed", action="store_true",
                        help="run the cases of regress/system_faults.t")
    parser.add_argument("--jobs", type=int, default=1,
                        help="cases to run in parallel (1)")
    options = parser.parse_args()
    for case in options.case or []:
        for fault in case.split("+"):
            if fault not in FAULTS:
                parser.error(f"unknown fault {fault}; known faults: "
                             f"{' '.join(FAULTS)}")
    if options.fixed:
        cases = FIXED_CASES
    else:
        cases = [(name, seed)
                 for seed in range(options.seed,
                                   options.seed + options.rounds)
                 for name in options.case or cases_for_seed(seed)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        passed = list(pool.map(lambda c: run_case(*c), cases))
    failed = passed.count(False)
    print(f"faults: {len(passed)} cases, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
