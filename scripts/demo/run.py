"""One run of the demo: platform, eight entry instances, load and check of the history."""

import argparse
import json
import os
import random
import shutil
import subprocess
import sys
import time

from . import faults, fleet, topology, workload

START_RATIO = 0.33
END_RATIO = 0.66
DRAIN_S = 25
IDLE_SETTLE_S = 4
# Exit status of coltsfootstilectl if the log has certainly stored no record.
NOTHING_CHANGED = 4
IDLE_S = 3


class Run:
    """The state of one run."""

    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.folder = os.path.join(options.run_dir, self.folder_name())
        shutil.rmtree(self.folder, ignore_errors=True)
        os.makedirs(self.folder)
        self.fleet = fleet.Fleet(options.build, self.folder,
                                 options.seconds + DRAIN_S + 120)
        self.servers = self.make_servers()
        self.history = {"servers": self.servers, "teams": [], "limits": [], "keys": [],
                        "leaving": [], "killed": [], "rolls": [], "cuts": []}
        self.keys = {}
        self.bundle = os.path.join(self.folder, "bundle-1.ini")
        self.operator = os.path.join(self.folder, "operator.key")
        self.pending = []
        self.result = {}

    def folder_name(self):
        return f"demo-{os.getpid()}"

    def make_servers(self):
        return topology.make_servers(self.options.deployment, self.rng)

    def start_platform(self):
        self.fleet.start_platform(self.servers, topology.make_hosts(self.servers),
                                  topology.make_routes())

    # Commands of the operator.

    def ctl(self, *arguments):
        program = os.path.join(self.options.build, "src", "coltsfootstilectl",
                               "coltsfootstilectl")
        return [program, *arguments]

    def run_ctl(self, *arguments):
        completed = subprocess.run(self.ctl(*arguments), capture_output=True, text=True,
                                   timeout=60, check=False)
        if completed.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments[:2])} failed: "
                               f"{completed.stdout.strip()} {completed.stderr.strip()}")
        return completed.stdout

    def entries(self):
        return [option for number, _ in topology.ENTRIES
                for option in ("--entry", topology.entry_http(number))]

    def make_keys(self):
        deployment = self.options.deployment
        self.run_ctl("keygen", "operator", "--seed", f"demo:{deployment}:operator-1",
                     "--out", self.operator)
        for team in workload.teams(deployment):
            path = os.path.join(self.folder, f"{team}.key")
            self.run_ctl("keygen", "caller", "--seed", f"demo:{deployment}:{team}",
                         "--out", path)
            self.keys[team] = path

    def read_bundle(self):
        """Copies the deployment's bundle and reads its teams and operators."""
        shutil.copy(os.path.join("examples", f"{self.options.deployment}.ini"), self.bundle)
        self.operators = []
        team = None
        with open(self.bundle, encoding="utf-8") as file:
            for line in file:
                line = line.strip()
                if line.startswith("[team "):
                    team = {"name": line[6:-1]}
                    self.history["teams"].append(team)
                elif line.startswith("["):
                    team = None
                key, _, value = (part.strip() for part in line.partition("="))
                if key == "operator":
                    self.operators.append(value)
                elif team is not None and (key == "weight" or key.startswith("limit_")):
                    team[key] = int(value)

    def roll(self, path, parent=None):
        """Rolls a bundle out and returns the duration in milliseconds."""
        start = time.monotonic()
        extra = ["--parent", parent] if parent else []
        self.run_ctl("roll", "--log", topology.LOG, *self.entries(), "--key", self.operator,
                     *extra, path)
        return (time.monotonic() - start) * 1000

    def write_bundle(self, path, parent, version, team, limit):
        """Writes a successor of the bundle `parent` with another task limit of one team."""
        digest = self.run_ctl("bundle", "hash", parent).split()[0]
        text = []
        inside = False
        with open(parent, encoding="utf-8") as file:
            for line in file:
                if line.startswith("["):
                    inside = line.strip() == f"[team {team}]"
                if line.startswith("version ="):
                    line = f"version = {version}\n"
                elif line.startswith("parent ="):
                    line = f"parent = {digest}\n"
                elif inside and line.startswith("limit_tasks"):
                    line = f"limit_tasks = {limit}\n"
                text.append(line)
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(text)

    def roll_second_bundle(self):
        """Starts the rollout of a second version that halves the task limit of one team."""
        path = os.path.join(self.folder, "bundle-2.ini")
        team = self.history["teams"][0]
        limit = team["limit_tasks"] // 2
        self.write_bundle(path, self.bundle, 2, team["name"], limit)
        command = self.ctl("roll", "--log", topology.LOG, *self.entries(), "--key",
                           self.operator, "--parent", self.bundle, path, "--json")
        start = time.monotonic()
        began_us = faults.now_us()
        self.pending.append(("roll", start, subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)))
        self.history["rolls"].append({"t_us": began_us, "version": 2})
        self.history["limits"].append({"t_us": began_us, "team": team["name"],
                                       "limit_tasks": limit})

    def withdraw_key(self):
        team = workload.WITHDRAWN_TEAM[self.options.deployment]
        self.history["keys"].append({"team": team, "withdrawn_us": faults.now_us()})
        command = self.ctl("key", "withdraw", "--log", topology.LOG, *self.entries(),
                           "--operator", self.operator, "--secret-file", self.keys[team],
                           "--json")
        self.pending.append(("withdraw", time.monotonic(), subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)))

    # Phases of the run.

    def start(self):
        self.make_keys()
        self.read_bundle()
        self.start_platform()
        self.fleet.wait_ready(
            lambda: fleet.http("GET", topology.LIST, "/v1/instances?zone=1"), "the platform")
        for number, zone in topology.ENTRIES:
            settings = topology.write_settings(self.folder, number, zone, self.operators,
                                               self.options.log_level)
            self.fleet.start_entry(number, settings)
        self.fleet.wait_ready(self.all_entries_up, "the entry instances")
        self.result["bundle_force_ms"] = round(self.roll(self.bundle), 1)
        self.fleet.wait_ready(self.all_leases_held, "the leases")
        self.fleet.wait_ready(self.all_shards_active, "the shards")
        self.fleet.wait_ready(self.all_limits_settled, "the limits of teams")

    def all_entries_up(self):
        return all(self.fleet.entry_state(number, "bundle") is not None
                   for number, _ in topology.ENTRIES)

    def all_leases_held(self):
        held = 0
        for number, _ in topology.ENTRIES:
            leases = self.fleet.entry_state(number, "leases")
            if leases is None:
                return False
            held += sum(lease["state"] == "held" for lease in leases)
        return held == len(self.servers)

    def all_shards_active(self):
        active = 0
        for number, _ in topology.ENTRIES:
            shards = self.fleet.entry_state(number, "shards")
            if shards is None:
                return False
            active += sum(shard["state"] == "active" for shard in shards)
        return active == 64 * len(topology.ZONES)

    def all_limits_settled(self):
        for number, _ in topology.ENTRIES:
            quota = self.fleet.entry_state(number, "quota")
            if quota is None or not all(team["settled"] for team in quota["teams"]):
                return False
        return True

    def measure(self):
        """Returns CPU seconds and wire bytes of each live instance."""
        figures = {}
        for number, _ in topology.ENTRIES:
            name = self.fleet.entry_name(number)
            wire = self.fleet.entry_state(number, "wire")
            if self.fleet.alive(name) and wire is not None:
                figures[number] = (self.fleet.cpu_seconds(name),
                                   wire["bytes_sent"] + wire["bytes_received"])
        return figures

    def measure_idle(self):
        time.sleep(IDLE_SETTLE_S)
        before = self.measure()
        time.sleep(IDLE_S)
        after = self.measure()
        both = [n for n in before if n in after]
        if not both:
            raise RuntimeError("no entry instance responded while idle")
        self.result["control_cpu_percent"] = round(
            max(100 * (after[n][0] - before[n][0]) / IDLE_S for n in both), 2)
        self.result["control_bytes_per_second"] = round(
            max((after[n][1] - before[n][1]) / IDLE_S for n in both))

    def load(self):
        """Runs the load, with the faults in its middle third."""
        options = self.options
        plan = workload.write_plan(self.folder, options.deployment, self.keys)
        self.callers = [os.path.join(self.folder, "callers.jsonl")]
        command = self.ctl("load", *self.entries(), "--plan", plan, "--record", *self.callers,
                           "--seed", str(options.seed), "--rate", str(options.rate),
                           "--seconds", str(options.seconds), "--drain-s", str(DRAIN_S),
                           "--json")
        chosen = [faults.FAULTS[name](self) for name in options.fault]
        self.history["measure_from_us"] = faults.now_us()
        before = self.measure()
        start = time.monotonic()
        with open(os.path.join(self.folder, "load.log"), "wb") as log:
            tool = subprocess.Popen(command, stdout=log, stderr=log)
        self.fleet.processes["load"] = tool
        self.sleep_until(start + options.seconds * START_RATIO)
        for fault in chosen:
            fault.begin()
        self.sleep_until(start + options.seconds * END_RATIO)
        for fault in chosen:
            fault.end()
        self.sleep_until(start + options.seconds)
        self.history["measure_to_us"] = faults.now_us()
        self.record_load(before, self.measure(), time.monotonic() - start)
        tool.wait(DRAIN_S + 30)

    def record_load(self, before, after, seconds):
        """Records the mean use of the instances that ran during the whole load."""
        both = [n for n in before if n in after and after[n][0] >= before[n][0]]
        if not both:
            return
        self.result["load_cpu_percent"] = round(
            sum(100 * (after[n][0] - before[n][0]) for n in both) / seconds / len(both), 2)
        self.result["load_bytes_per_second"] = round(
            sum(after[n][1] - before[n][1] for n in both) / seconds / len(both))

    @staticmethod
    def sleep_until(end):
        time.sleep(max(0.0, end - time.monotonic()))

    def finish_commands(self):
        for name, start, process in self.pending:
            output, _ = process.communicate(timeout=60)
            if process.returncode == NOTHING_CHANGED:
                self.remove_from_history(name)
            self.result.setdefault("commands", []).append(
                {"command": name, "exit": process.returncode,
                 "output": output.strip()[-500:]})

    def remove_from_history(self, name):
        """Removes a command that changed nothing from the effects that the checker expects."""
        if name == "withdraw":
            self.history["keys"].clear()
        else:
            self.history["rolls"].clear()
            self.history["limits"].clear()

    def check_history(self):
        """Runs the history checker on the records of the run and returns whether it passed."""
        history = topology.write_json(self.folder, "run.json", self.history)
        program = os.path.join(self.options.build, "src", "history",
                               "coltsfootstile_history")
        completed = subprocess.run(
            [program, "--run", history,
             *[option for path in self.callers for option in ("--callers", path)],
             "--log", os.path.join(self.folder, "log.jsonl"),
             *[option for path in self.fleet.records for option in ("--servers", path)]],
            capture_output=True, text=True, timeout=300, check=False)
        if completed.returncode not in (0, 1):
            raise RuntimeError(f"the history checker failed: {completed.stderr.strip()}")
        for name, value in json.loads(completed.stdout).items():
            self.result.setdefault(name, value)
        return completed.returncode == 0


FIELDS = ("accepted", "answered", "refused", "unknown", "lost", "doubled", "wrong_answer",
          "overcommitted", "over_limit", "late_key", "late_leaving", "false_not_run",
          "wait_p50_ms", "wait_p99_ms", "starts_per_second", "packing", "share_error",
          "control_cpu_percent", "control_bytes_per_second", "load_cpu_percent",
          "load_bytes_per_second", "rss_mb_max",
          "bundle_force_ms")


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/demo.sh", description=__doc__)
    parser.add_argument("--deployment", choices=sorted(topology.FLEETS), default="hangwell")
    parser.add_argument("--seconds", type=int, default=20, help="length of the load")
    parser.add_argument("--entries", type=int, default=topology.DEFAULT_ENTRIES,
                        help="number of entry instances")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=int, default=300, help="requests a second")
    parser.add_argument("--fault", default="", help="NAME[,NAME]: " + ", ".join(faults.FAULTS))
    parser.add_argument("--json", metavar="FILE", help="file for the figures")
    parser.add_argument("--keep", action="store_true", help="keep the run's folder")
    parser.add_argument("--log-level", default="info")
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--run-dir", default="run")
    options = parser.parse_args(arguments)
    options.fault = [name for name in options.fault.split(",") if name]
    for name in options.fault:
        if name not in faults.FAULTS:
            parser.error(f"unknown fault {name}")
    if options.seconds < 3 or options.rate < 1:
        parser.error("--seconds must be at least 3 and --rate at least 1")
    if not len(topology.ZONES) <= options.entries <= 250:
        parser.error("--entries must be 3 to 250")
    return options


def print_table(run, kept):
    print(f"{run.options.deployment}, {len(run.servers)} backend servers, "
          f"{len(topology.ENTRIES)} entry instances, seed {run.options.seed}, "
          f"fault {','.join(run.options.fault) or 'none'}")
    for field in FIELDS:
        print(f"  {field:26} {run.result.get(field)}")
    for command in run.result.get("commands", []):
        print(f"  {command['command']:26} exit {command['exit']}: {command['output'][:160]}")
    for name, code in run.result.get("odd_exits", {}).items():
        print(f"  {name:26} ended with {code}")
    print("  every promise was kept" if kept else "  A PROMISE WAS BROKEN")


def main(arguments):
    options = parse(arguments)
    topology.use_entries(options.entries)
    lock = topology.lock_slot()
    run = Run(options)
    kept = False
    try:
        run.start()
        run.measure_idle()
        run.load()
        run.finish_commands()
        run.result["rss_mb_max"] = round(
            max(run.fleet.rss_mb(run.fleet.entry_name(n)) for n, _ in topology.ENTRIES), 1)
    finally:
        unexpected = run.fleet.stop()
        lock.close()
    run.result["odd_exits"] = unexpected
    kept = run.check_history() and not unexpected and not run.result.get("unplanned_ends")
    print_table(run, kept)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(run.result, file, indent=1)
    if not options.keep and kept:
        shutil.rmtree(run.folder)
    else:
        print(f"  records are in {run.folder}")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
