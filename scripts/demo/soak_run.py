"""One seed of the soak: plans its faults, runs them and collects the broken promises."""

import heapq
import itertools
import json
import os
import random
import subprocess
import time

from . import faults, fleet, run, topology, workload
from .soak_faults import KINDS

TICK_S = 0.05
# Faults start in this time and part of the load, so that what they delay can end before it does.
FAULTS_FROM_S = 2.0
FAULTS_TO_RATIO = 0.75
DRAIN_S = 45
CHECK_INTERVAL_S = 5.0
# Age from which on all records of a time have been flushed, if the machine isn't overloaded.
RECORD_AGE_S = 3.0
SPARE_KEYS = 4
# Part of the entry instances that may be killed, stopped or paused at a time.
DOWN_PART = 3
# The promises that a prefix of the servers' records can show as broken.
RUNNING_FIELDS = ("overcommitted", "doubled", "late_leaving")
FIELDS = ("lost", "doubled", "wrong_answer", "overcommitted", "over_limit", "late_key",
          "late_leaving", "false_not_run", "contradictions")

# Sizes: (share, entries, server scale, process per server, loads, rate, seconds).
SIZES = (
    (6, (4, 9), (0.25, 0.5), False, 1, (60, 200), (15, 25)),
    (3, (9, 18), (0.4, 0.8), True, 2, (60, 150), (20, 35)),
    (1, (50, 90), (1.8, 3.2), True, 4, (60, 100), (30, 45)),
)


class Plan:
    """What a seed draws: the size of the run, and its faults in order of time."""

    def __init__(self, seed):
        rng = random.Random(f"soak {seed}")
        self.rng = rng
        _, entries, scale, self.separate, self.loads, rate, seconds = rng.choices(
            SIZES, [size[0] for size in SIZES])[0]
        self.entries = rng.randint(*entries)
        self.scale = rng.uniform(*scale)
        self.rate = rng.randint(*rate)
        self.seconds = rng.randint(*seconds)
        self.retry_permille = rng.choice((0, 300, 1000))
        self.deployment = rng.choice(sorted(topology.FLEETS))
        self.faults = []  # (start in seconds, kind, seed of its choices, length in seconds)
        at = FAULTS_FROM_S
        while at < self.seconds * FAULTS_TO_RATIO:
            for _ in range(rng.choice((1, 1, 2, 2, 3))):
                self.add(at + rng.uniform(0.0, 0.5))
            at += rng.uniform(0.3, 2.5)
        self.faults.sort()

    def add(self, at):
        """Adds a fault, sometimes followed by the same one."""
        rng = self.rng
        kind = rng.choices(list(KINDS), [share for _, share in KINDS.values()])[0]
        seed = rng.getrandbits(32)
        for _ in range(2 if rng.random() < 0.2 else 1):
            seconds = rng.uniform(*KINDS[kind][0].length_s)
            self.faults.append((at, kind, seed, seconds))
            at += seconds + rng.uniform(0.1, 0.6)


class Soak(run.Run):
    def __init__(self, options, plan):
        self.plan = plan
        self.steps = []  # heap of (time, number, function)
        self.numbers = itertools.count()
        self.active = []
        self.down = set()  # names of entry instances that are killed or stopped
        self.paused = []  # names of processes, once per pause
        self.problems = []
        self.suspect = False  # a check of incomplete records found a broken promise
        self.timeline = []
        self.commands = []
        self.unreadable = []  # (from, to) in microseconds, while zones can't read the log
        self.spares = {}
        self.bundles = {}  # file by hash
        self.start_s = time.monotonic()
        topology.use_entries(plan.entries)
        super().__init__(options)

    def folder_name(self):
        return f"soak-{self.options.seed}"

    def make_servers(self):
        return topology.make_servers(self.options.deployment, self.rng, self.plan.scale)

    def start_platform(self):
        self.hosts = topology.make_hosts(self.servers, self.plan.separate)
        self.fleet.start_platform(self.servers, self.hosts,
                                  topology.make_routes() + topology.make_caller_routes())

    def host_name(self, server):
        return next(host["name"] for host in self.hosts if server in host["servers"])

    def make_keys(self):
        super().make_keys()
        for number in range(1, SPARE_KEYS + 1):
            path = os.path.join(self.folder, f"spare-{number}.key")
            self.run_ctl("keygen", "caller", "--seed", f"soak:spare-{number}", "--out", path)
            self.spares[f"spare-{number}"] = path

    # For faults.

    def after(self, seconds, function):
        heapq.heappush(self.steps, (time.monotonic() + seconds, next(self.numbers), function))

    def report(self, problem):
        """Records a broken promise that the checker of histories doesn't see."""
        self.problems.append(problem)
        self.note(f"BROKEN {problem}")

    def note(self, text):
        self.timeline.append(f"{time.monotonic() - self.start_s:8.3f} s  {text}")

    def ended(self, fault):
        self.active.remove(fault)
        if fault.delays_log:
            self.unreadable.append((fault.from_us, faults.now_us()))
        self.note(f"end    {fault.kind} {fault.target()}")

    def some_entries(self):
        """Returns options that name an instance of each zone, running ones if there are any."""
        options = []
        for zone in topology.ZONES:
            numbers = [number for number, other in topology.ENTRIES if other == zone]
            up = [number for number in numbers if self.is_up(number)]
            options += ["--entry", topology.entry_http((up or numbers)[0])]
        return options

    def is_up(self, number):
        name = self.fleet.entry_name(number)
        return name not in self.down and name not in self.paused

    def spawn_ctl(self, *arguments):
        return subprocess.Popen(self.ctl(*arguments), stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT, text=True)

    def add_bundle(self, path):
        self.bundles[self.run_ctl("bundle", "hash", path).split()[0]] = path

    def newest_bundle(self):
        """Returns file and version of the newest bundle that an instance has in force."""
        newest = (self.bundle, 1)
        for number, _ in topology.ENTRIES:
            state = self.fleet.entry_state(number, "bundle") if self.is_up(number) else None
            for item in (state or {}).get("history", []):
                if item["version"] > newest[1]:
                    newest = (self.bundles[item["hash"]], item["version"])
        return newest

    def readable_us(self, t_us):
        """Returns the first time from `t_us` on at which every zone could read the log."""
        for begin, end in sorted(self.unreadable):
            if begin <= t_us < end:
                t_us = end
        return t_us

    # Phases.

    def load(self):
        options = self.options
        plan = workload.write_plan(self.folder, options.deployment, self.keys, self.spares)
        self.callers = []
        self.loads = []
        addresses = [option for number, _ in topology.ENTRIES
                     for option in ("--entry", topology.caller_address(number))]
        for number in range(1, self.plan.loads + 1):
            record = os.path.join(self.folder, f"callers-{number}.jsonl")
            self.callers.append(record)
            self.loads.append(f"load-{number}")
            self.fleet.spawn(self.loads[-1], self.ctl(
                "load", *addresses, "--plan", plan, "--record", record,
                "--seed", str(options.seed % 1_000_000 * 10 + number),
                "--rate", str(self.plan.rate), "--seconds", str(options.seconds),
                "--retry-permille", str(self.plan.retry_permille),
                "--drain-s", str(DRAIN_S), "--json"))
        self.start_s = time.monotonic()
        self.history["measure_from_us"] = faults.now_us()
        for at, kind, seed, seconds in self.plan.faults:
            self.after(at, lambda *_, k=kind, s=seed, l=seconds: self.start_fault(k, s, l))
        self.after(CHECK_INTERVAL_S, self.check_running)
        self.tails = {path: [0, [], open(path + ".part", "w", encoding="utf-8")]
                      for path in self.fleet.records}
        end = self.start_s + options.seconds + DRAIN_S + fleet.STOP_TIMEOUT_S
        while self.active or self.steps or self.loads_running():
            if time.monotonic() > end:
                self.report("the load or a fault didn't end")
                break
            self.step()
        self.history["measure_to_us"] = faults.now_us()
        self.check_recovery()

    def step(self):
        while self.steps and self.steps[0][0] <= time.monotonic():
            heapq.heappop(self.steps)[2]()
        for name, process in self.fleet.processes.items():
            code = process.poll()
            finished = name in self.loads and code == 0
            if code is not None and not finished and name not in self.down:
                self.report(f"{name} ended by itself with {code}")
                self.down.add(name)
        time.sleep(TICK_S)

    def loads_running(self):
        return any(self.fleet.alive(name) for name in self.loads)

    def start_fault(self, kind, seed, seconds):
        fault = KINDS[kind][0](self, random.Random(seed))
        fault.kind = kind
        busy = fault.exclusive is not None and any(
            other.exclusive == fault.exclusive for other in self.active)
        if self.problems or self.suspect or busy or (kind.startswith("entry-") and self.too_many_down()):
            self.note(f"skip   {kind} {fault.target()}")
            return
        self.active.append(fault)
        fault.from_us = faults.now_us()
        self.note(f"begin  {kind} {fault.target()}, {seconds:.2f} s")
        fault.start(seconds)

    def too_many_down(self):
        down = sum(not self.is_up(number) for number, _ in topology.ENTRIES)
        return (down + 1) * DOWN_PART > len(topology.ENTRIES)

    def check_recovery(self):
        """After the last fault all instances run, and lead and own everything again."""
        for check, name in ((self.all_entries_up, "the entry instances"),
                            (self.all_leases_held, "the leases"),
                            (self.all_shards_active, "the shards"),
                            (self.all_limits_settled, "the limits of teams")):
            try:
                self.fleet.wait_ready(check, name)
            except RuntimeError as error:
                self.report(f"after the faults: {error}")

    # Checks of the history.

    def check_running(self):
        """Checks what the servers have recorded so far; a broken promise ends the faults.

        Records may be late, so the check of all records at the end decides.
        """
        horizon_us = faults.now_us() - int(RECORD_AGE_S * 1e6)
        for path, tail in self.tails.items():
            self.copy_records(path, tail, horizon_us)
        path = topology.write_json(self.folder, "run-part.json", self.history)
        completed = subprocess.run(
            [self.checker(), "--run", path,
             *[option for record in self.tails for option in ("--servers", record + ".part")]],
            capture_output=True, text=True, timeout=60, check=False)
        if completed.returncode == 1:
            result = json.loads(completed.stdout)
            broken = [field for field in RUNNING_FIELDS if result[field]]
            if broken:
                self.note(f"seen while it runs: {', '.join(broken)}; no more faults")
                self.suspect = True
        elif completed.returncode != 0:
            self.report(f"the history checker failed: {completed.stderr.strip()}")
        if self.loads_running():
            self.after(CHECK_INTERVAL_S, self.check_running)

    @staticmethod
    def copy_records(path, tail, horizon_us):
        """Appends the records of before the horizon to the partial copy."""
        if not os.path.exists(path):
            return
        with open(path, encoding="utf-8") as file:
            file.seek(tail[0])
            text = file.read()
        complete = text.rfind("\n") + 1
        tail[0] += len(text[:complete].encode())
        later = []
        for line in tail[1] + text[:complete].splitlines():
            if json.loads(line)["t_us"] < horizon_us:
                tail[2].write(line + "\n")
            else:
                later.append(line)
        tail[1] = later
        tail[2].flush()

    def checker(self):
        return os.path.join(self.options.build, "src", "history", "coltsfootstile_history")

    def finish_commands(self):
        """Adds the effects of the operator's commands, at the times of their log records."""
        appended = {}
        with open(os.path.join(self.folder, "log.jsonl"), encoding="utf-8") as file:
            for line in file:
                record = json.loads(line)
                if record["event"] == "append":
                    appended[record["offset"]] = record["t_us"]
        for command, code, output in self.commands:
            self.note(f"       {command.kind} {command.target()}: exit {code}")
            try:
                report = json.loads(output)
            except ValueError:
                report = {}
            if code != run.NOTHING_CHANGED and report.get("outcome") not in ("refused", "conflict"):
                command.effect(appended.get(report.get("offset", -1)))

    def execute(self):
        """Runs everything, and returns the problems found."""
        try:
            self.start()
            self.load()
        except (RuntimeError, OSError, subprocess.SubprocessError) as error:
            self.report(f"the run failed: {error!r}")
        finally:
            unexpected = self.fleet.stop()
        for name, code in unexpected.items():
            if name not in self.down:
                self.report(f"{name}: ended with {code} when the run was stopped")
        if hasattr(self, "callers"):
            self.finish_commands()
            if not self.check_history():
                self.problems += [f"{field} {self.result[field]}" for field in FIELDS
                                  if self.result.get(field)] or ["the history is broken"]
        with open(os.path.join(self.folder, "timeline.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(self.timeline) + "\n")
        topology.write_json(self.folder, "result.json", self.result)
        return self.problems
