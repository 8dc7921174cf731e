#!/usr/bin/env python3
"""Whole-system runs under failure, with real processes.

Each case starts a fleet, runs generations and bookings of both client
accounts for about 10 s, applies one fault or two at times drawn from the seed,
and checks what callers were told against what happened. Prints one line per
case: name, seed, whole, failed, broken, doubled, worst token gap in ms,
resumes seen by callers, and actions done, not run and in doubt.
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
# docs/design.md section 1.2, invariant 6, and the brief's limit for 8.
DEPART_LIMIT_S = 5
IN_EFFECT_LIMIT_S = 8
# After a loss, output resumes within this (section 1.6).
GAP_LIMIT_MS = 6000
POLL_S = 0.1
CHANGE_INTERVAL_S = 0.7
PAIRS_PER_ROUND = 12
# Names and seeds of regress/system_faults.t.
FIXED_CASES = [("engine_killed", 1), ("daemon_killed", 2),
               ("engine_foreign+lost_writes", 3),
               ("platform_outage+operator_race", 4),
               ("engine_departs+daemon_paused_3", 5), ("daemon_stopped", 6),
               ("daemon_paused_3+daemon_paused_3", 70)]


class Case:
    """The fleet of one case, what was observed and what went wrong."""

    def __init__(self, name, seed):
        self.name = name
        self.seed = seed
        self.rng = random.Random(f"{seed}/{name}")
        self.run = fleet.Fleet(keep_logs=True)
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.faults_over = threading.Event()
        self.problems = []
        self.gone = set()  # daemons that were stopped, or are being stopped
        self.paused = set()
        self.accepted = {}  # version -> label that the change set
        self.changes = 0
        self.departed = []  # (engine, time of the mark)
        self.late_base = {}  # engine -> runs at the mark + DEPART_LIMIT_S
        self.whole = self.failed = self.broken = self.doubled = 0
        self.gap_ms = 0.0
        self.resumes = 0
        self.actions = {"done": 0, "not_run": 0, "in_doubt": 0}
        self.errors = []

    def problem(self, text):
        with self.lock:
            if text not in self.problems:
                self.problems.append(text)

    def live(self):
        with self.lock:
            return [d for d in self.daemons
                    if d not in self.gone and d not in self.paused]

    def start(self):
        run = self.run
        run.start_platform()
        self.engines = [run.start_engine(i, ENGINE_ARGS)
                        for i in range(ENGINES)]
        run.start_backend(0)
        self.daemons = run.start_daemons(DAEMONS)
        version = run.configure(self.daemons[0], fleet.two_user_config())
        run.wait_in_effect(self.daemons, version)
        # Two faults of one case have different victims.
        self.engine_order = self.rng.sample(self.engines, ENGINES)
        self.daemon_order = self.rng.sample(self.daemons, DAEMONS)

    def fault(self, name, body):
        status, text = fleet.http("POST", self.run.url(name) + "/faults", body)
        if status >= 300:
            raise RuntimeError(f"fault {body} at {name}: {status} {text}")

    def change(self, daemon, patch=None, version=None):
        """One operator change; returns its version if it was accepted.

        Every change sets a label of its own, so that a lost one is seen.
        """
        with self.lock:
            self.changes += 1
            label = f"c{self.changes}"
        try:
            if version is None:
                status, doc = self.run.operator("GET", daemon, "/v1/config")
                if status != 200:
                    return None
                version = doc["version"]
            full = {"instances": {self.engines[0]: {"labels": {label: "1"}}}}
            for name, value in (patch or {}).items():
                full["instances"].setdefault(name, {}).update(value)
            status, doc = self.run.operator("PATCH", daemon, "/v1/config",
                                            full, version)
        except (OSError, ValueError):
            return None  # unknown to the operator
        if status != 200:
            return None
        with self.lock:
            twice = doc["version"] in self.accepted
            self.accepted[doc["version"]] = label
        if twice:
            self.problem(f"version {doc['version']} accepted twice")
        return doc["version"]

    def watch_versions(self, daemon):
        """A daemon's version must never be lower than before; a daemon that
        was started again has none until it is in effect."""
        highest = 0
        process = self.run.processes[daemon]
        highest_in_process = 0
        while not self.over.wait(POLL_S):
            try:
                _, doc = self.run.operator("GET", daemon, "/v1/status")
                version, in_effect = doc["version"], doc["in_effect"]
            except (OSError, ValueError, TypeError, KeyError):
                continue
            if self.run.processes[daemon] is not process:
                process = self.run.processes[daemon]
                highest_in_process = 0
                continue  # the answer may come from either process
            if version < highest_in_process or (in_effect and
                                                version < highest):
                self.problem(f"{daemon}: version {version} after "
                             f"{max(highest, highest_in_process)}")
            highest_in_process = max(highest_in_process, version)
            highest = max(highest, version)

    def make_changes(self):
        rng = random.Random(f"{self.seed}/changes")
        while not self.faults_over.wait(CHANGE_INTERVAL_S):
            live = self.live()
            if live:
                self.change(rng.choice(live))

    def check_in_effect(self):
        """Every accepted change is on every live daemon in time."""
        deadline = time.monotonic() + IN_EFFECT_LIMIT_S
        wanted = max(self.accepted, default=0)
        behind = None
        while True:
            behind = [d for d in self.live() if not self.has_effect(d, wanted)]
            if not behind or time.monotonic() > deadline:
                break
            time.sleep(POLL_S)
        if behind:
            self.problem(f"version {wanted} not in effect within "
                         f"{IN_EFFECT_LIMIT_S} s at {', '.join(behind)}")
            return
        for daemon in self.live():
            _, doc = self.run.operator("GET", daemon, "/v1/config")
            config = doc.get("config", doc)
            labels = config["instances"].get(
                self.engines[0], {}).get("labels", {})
            lost = set(self.accepted.values()) - set(labels)
            if lost:
                self.problem(f"{daemon}: accepted changes lost: {lost}")

    def has_effect(self, daemon, version):
        try:
            _, doc = self.run.operator("GET", daemon, "/v1/status")
            return doc["version"] >= version and doc["in_effect"]
        except (OSError, ValueError, TypeError, KeyError):
            return False

    def engine_runs(self, engine):
        try:
            _, stats = fleet.http("GET", self.run.url(engine) + "/v1/stats")
            return stats["runs"]
        except OSError:
            return None

    def watch_departure(self, engine):
        if self.over.wait(DEPART_LIMIT_S):
            return
        base = self.engine_runs(engine)
        if base is not None:
            self.late_base[engine] = base

    def check_departures(self):
        for engine, base in self.late_base.items():
            now = self.engine_runs(engine)
            if now is not None and now > base:
                self.problem(f"{engine}: {now - base} runs later than "
                             f"{DEPART_LIMIT_S} s after its mark")

    def check_reports(self, reports, faults):
        effects = fleet.http("GET", self.run.url("backend-0") + "/effects")[1]
        per_key = effects["keys"]
        told = {k: v for r in reports for k, v in r["keys"].items()}
        for report in reports:
            self.whole += report["whole"]
            self.failed += report["failed"]
            self.broken += report["broken"]
            self.gap_ms = max(self.gap_ms, report["interval_max_ms"])
            if report["interval_max_ms"] > GAP_LIMIT_MS:
                self.problem(f"gap of {report['interval_max_ms']:.0f} ms "
                             "between two tokens")
            self.resumes += len(report["resumes"])
            for state in self.actions:
                self.actions[state] += report[state]
            self.errors += report["errors"]
            ended = report["whole"] + report["failed"] + report["broken"]
            if ended != report["requests"] or report["requests"] < 50:
                self.problem(f"{report['requests']} generations, {ended} ended")
            if report["untyped"]:
                self.problem(f"{report['untyped']} errors without a type")
        self.doubled = sum(1 for n in per_key.values() if n > 1)
        if self.broken:
            self.problem(f"{self.broken} answers broken or mixed")
        if self.doubled or effects["without_key"]:
            self.problem(f"{self.doubled} keys with two effects, "
                         f"{effects['without_key']} effects without a key")
        strangers = set(per_key) - set(told)
        if strangers:
            self.problem(f"{len(strangers)} effects of unknown keys")
        wrong = [k for k, s in told.items()
                 if s == "not_run" and per_key.get(k, 0)]
        if wrong:
            self.problem(f"told not_run with an effect: {wrong}")
        wrong = [k for k, s in told.items()
                 if s == "done" and per_key.get(k, 0) != 1]
        if wrong:
            self.problem(f"told done without exactly one effect: {wrong}")
        if not any(s == "done" for s in told.values()) or not self.whole:
            self.problem("no action done or no answer whole")
        harmless = not any(f.startswith("daemon_") and f != "daemon_stopped"
                           for f in faults)
        if "daemon_stopped" in faults and harmless:
            reconnects = sum(1 for r in reports for resume in r["resumes"]
                             if resume["reconnected"])
            if reconnects:
                self.problem(f"{reconnects} streams broken by a planned stop")

    def check_processes(self):
        """A daemon may only end by the fault that ends it."""
        for daemon in self.daemons:
            status = self.run.processes[daemon].poll()
            if status is not None and daemon not in self.gone:
                self.problem(f"{daemon} ended by itself: {status}")

    def run_fault(self, name, victims, at, rng):
        time.sleep(at)
        try:
            FAULTS[name](self, victims, rng)
        except Exception as err:  # reported as a failure of the case
            self.problem(f"fault {name}: {err!r}")

    def execute(self):
        faults = self.name.split("+")
        self.start()
        plan = []
        at = self.rng.uniform(1.5, 3.5)
        for i, name in enumerate(faults):
            victims = (self.engine_order[i], self.daemon_order[i])
            plan.append((name, victims, at, random.Random(self.rng.random())))
            at += self.rng.uniform(0, 2)
        loads = [self.run.load(self.daemons, account, LOAD_ARGS + [
                    "--kind", kind, "--seed", str(2 * self.seed + i)])
                 for i, (account, kind) in enumerate(
                     [("lone-star", "household"), ("cyflogres", "payslip")])]
        try:
            self.watch(plan, loads, faults)
        finally:
            for load in loads:
                if load.poll() is None:
                    load.kill()
                    load.wait()

    def watch(self, plan, loads, faults):
        threads = [threading.Thread(target=self.watch_versions, args=[d])
                   for d in self.daemons]
        threads.append(threading.Thread(target=self.make_changes))
        active = [threading.Thread(target=self.run_fault, args=p)
                  for p in plan]
        for thread in threads + active:
            thread.start()
        with concurrent.futures.ThreadPoolExecutor(len(loads)) as pool:
            reports = [pool.submit(fleet.report, load, LOAD_TIMEOUT_S)
                       for load in loads]
            try:
                for thread in active:
                    thread.join()
                self.faults_over.set()
                threads[-1].join()  # all accepted changes are known
                self.check_in_effect()
                reports = [r.result() for r in reports]
            finally:
                self.faults_over.set()
                self.over.set()
                for thread in threads:
                    thread.join()
        self.check_reports(reports, faults)
        self.check_departures()
        self.check_processes()


def engine_killed(case, victims, rng):
    case.run.kill(victims[0])


def engine_stopped(case, victims, rng):
    case.run.kill(victims[0], signal.SIGSTOP)
    time.sleep(rng.uniform(3, 6))
    case.run.kill(victims[0], signal.SIGCONT)


def engine_frozen(case, victims, rng):
    ms = rng.randrange(2000, 6000)
    case.fault(victims[0], {"fault": "freeze", "ms": ms})
    time.sleep(ms / 1000)


def stream_fault(case, victims, rng, **members):
    """Hits several runs of one engine, one after the other."""
    for _ in range(6):
        case.fault(victims[0], {"after": rng.randrange(0, 30), **members})
        time.sleep(0.5)


def engine_cut(case, victims, rng):
    stream_fault(case, victims, rng, fault="cut",
                 lose_run=rng.random() < 0.5)


def engine_garbage(case, victims, rng):
    stream_fault(case, victims, rng, fault="garbage")


def engine_repeated(case, victims, rng):
    stream_fault(case, victims, rng, fault="repeat")


def engine_foreign(case, victims, rng):
    stream_fault(case, victims, rng, fault="foreign")


def backend_cut(case, victims, rng):
    """Answers of the backend server are lost or late."""
    for _ in range(6):
        case.fault("backend-0", {"fault": rng.choice(["cut_before",
                                                      "cut_after"])})
        case.fault("backend-0", {"fault": "delay", "ms": 500})
        time.sleep(0.5)


def daemon_killed(case, victims, rng):
    daemon = victims[1]
    with case.lock:
        case.gone.add(daemon)
    case.run.kill(daemon)
    time.sleep(rng.uniform(0.5, 2))
    case.run.start_daemon(daemon)
    with case.lock:
        case.gone.discard(daemon)


def pause_daemon(case, daemon, seconds):
    with case.lock:
        case.paused.add(daemon)
    case.run.kill(daemon, signal.SIGSTOP)
    time.sleep(seconds)
    case.run.kill(daemon, signal.SIGCONT)
    with case.lock:
        case.paused.discard(daemon)


def daemon_paused_3(case, victims, rng):
    pause_daemon(case, victims[1], 3)


def daemon_paused_8(case, victims, rng):
    pause_daemon(case, victims[1], 8)


def daemon_stopped(case, victims, rng):
    daemon = victims[1]
    with case.lock:
        case.gone.add(daemon)
    case.run.kill(daemon, signal.SIGTERM)
    status = case.run.processes[daemon].returncode
    if status != 0:
        case.problem(f"{daemon}: exit status {status} of a planned stop")


def platform_outage(case, victims, rng):
    ms = rng.randrange(3000, 6000)
    case.fault("platform", {"fault": "outage", "ms": ms,
                            "cut": rng.random() < 0.5})
    time.sleep(ms / 1000)


def platform_slow(case, victims, rng):
    ms = rng.randrange(3000, 6000)
    case.fault("platform", {"fault": "delay", "ms": rng.randrange(100, 800),
                            "for_ms": ms, "answers": rng.random() < 0.5})
    time.sleep(ms / 1000)


def lost_writes(case, victims, rng):
    for _ in range(5):
        case.fault("platform", {"fault": "lose", "count": 4})
        time.sleep(0.6)


def list_lag(case, victims, rng):
    """The list shows a dead engine as live and a new one late."""
    case.fault("platform", {"fault": "list_lag", "ms": 4000})
    case.run.kill(victims[0])
    status, text = fleet.http(
        "PUT", case.run.url("platform") +
        "/v1/agent/service/deregister/" + victims[0])
    if status != 200:
        raise RuntimeError(f"deregister: {status} {text}")
    case.run.start_engine(ENGINES + int(victims[0].split("-")[1]), ENGINE_ARGS)
    time.sleep(4)


def operator_race(case, victims, rng):
    """Two operators change the same version at two daemons."""
    for _ in range(8):
        live = case.live()
        if len(live) < 2:
            time.sleep(0.3)
            continue
        pair = rng.sample(live, 2)
        try:
            status, doc = case.run.operator("GET", pair[0], "/v1/config")
        except OSError:
            continue
        if status != 200:
            continue
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            won = list(pool.map(
                lambda d: case.change(d, version=doc["version"]), pair))
        if None not in won:
            case.problem(f"both of two racing changes accepted: {won}")
        time.sleep(0.3)


def engine_departs(case, victims, rng):
    """The operator marks an engine; refused changes are tried again."""
    patch = {victims[0]: {"departing": True}}
    for _ in range(100):
        live = case.live()
        if live and case.change(rng.choice(live), patch):
            case.watch_departure(victims[0])
            return
        time.sleep(0.1)
    case.problem("no daemon accepted the planned departure")


def engine_leaves(case, victims, rng):
    """The instance list shows the departure after its lag of 1 s."""
    case.run.register(victims[0], "engine", {
        "failure_domain": "a", "kind": "engine"}, state="leaving")
    time.sleep(1)
    case.watch_departure(victims[0])


FAULTS = {f.__name__: f for f in (
    engine_killed, engine_stopped, engine_frozen, engine_cut, engine_garbage,
    engine_repeated, engine_foreign, engine_departs, engine_leaves, backend_cut,
    daemon_killed, daemon_paused_3, daemon_paused_8, daemon_stopped,
    platform_outage, platform_slow, lost_writes, list_lag, operator_race)}


def run_case(name, seed):
    """Prints the line of one case; returns true if it passed."""
    case = Case(name, seed)
    with case.run:
        try:
            case.execute()
        except Exception as err:  # a case that can't run has failed
            case.problem(repr(err))
    print(f"{name} seed {seed} whole {case.whole} failed {case.failed} "
          f"broken {case.broken} doubled {case.doubled} "
          f"gap {case.gap_ms:.0f} resumes {case.resumes} actions "
          f"{'/'.join(str(n) for n in case.actions.values())}", flush=True)
    for problem in case.problems:
        print(f"  FAILED: {problem}", flush=True)
    if case.problems:
        print(f"  logs: {case.run.dir}", flush=True)
    else:
        shutil.rmtree(case.run.dir)
    for error in sorted(set(case.errors)):
        print(f"  error: {error}", flush=True)
    return not case.problems


def cases_of(seed):
    """Every fault alone, then some pairs drawn from the seed."""
    pairs = [f"{a}+{b}" for a in FAULTS for b in FAULTS if a <= b]
    return list(FAULTS) + random.Random(seed).sample(pairs, PAIRS_PER_ROUND)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1,
                        help="seed of the first round (1)")
    parser.add_argument("--case", action="append",
                        help="a fault, or two joined by +; may be repeated")
    parser.add_argument("--rounds", type=int, default=1,
                        help="rounds, each with the next seed (1)")
    parser.add_argument("--fixed", action="store_true",
                        help="run the cases of regress/system_faults.t")
    parser.add_argument("--jobs", type=int, default=1,
                        help="cases at the same time (1)")
    options = parser.parse_args()
    for case in options.case or []:
        for fault in case.split("+"):
            if fault not in FAULTS:
                parser.error(f"{fault}: unknown; known are "
                             f"{' '.join(FAULTS)}")
    if options.fixed:
        cases = FIXED_CASES
    else:
        cases = [(name, seed)
                 for seed in range(options.seed,
                                   options.seed + options.rounds)
                 for name in options.case or cases_of(seed)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        passed = list(pool.map(lambda c: run_case(*c), cases))
    failed = passed.count(False)
    print(f"faults: {len(passed)} cases, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
