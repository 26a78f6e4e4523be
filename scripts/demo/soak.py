"""Runs seeds of random, overlapping faults on real processes, and checks every promise.

A seed decides the size of its run, its load and its faults. A failing seed prints its faults
with their times, and its folder is kept; --from SEED --seeds 1 plays it again.
"""

import argparse
import os
import shutil
import signal
import subprocess
import sys
import time

from . import topology

SEED_LIST = os.path.join(os.path.dirname(__file__), "soak_seeds.txt")
POLL_S = 0.2
STOP_TIMEOUT_S = 40


def parse(arguments):
    parser = argparse.ArgumentParser(
        prog="scripts/soak.sh", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (1)")
    parser.add_argument("--from", type=int, default=1, dest="first", help="first seed (1)")
    parser.add_argument("--minutes", type=float, default=60.0,
                        help="time after which no further seed is started (60)")
    parser.add_argument("--jobs", type=int, default=1, help="concurrent runs, at most 10 (1)")
    parser.add_argument("--regressions", action="store_true",
                        help="also play the seeds of scripts/demo/soak_seeds.txt")
    parser.add_argument("--plan", action="store_true",
                        help="print size and faults of each seed, and run nothing")
    parser.add_argument("--keep", action="store_true", help="keep the folders of all runs")
    parser.add_argument("--log-level", default="info", help="of the entry instances (info)")
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--run-dir", default="run/soak")
    options = parser.parse_args(arguments)
    if options.seeds < 0 or options.first < 0 or not 1 <= options.jobs <= len(topology.SLOTS):
        parser.error("--seeds and --from can't be negative, and --jobs is 1 to 10")
    return options


def read_seeds(options):
    seeds = []
    if options.regressions:
        with open(SEED_LIST, encoding="utf-8") as file:
            seeds = [int(line.split()[0]) for line in file if line[:1].isdigit()]
    return seeds + [seed for seed in range(options.first, options.first + options.seeds)
                    if seed not in seeds]


def describe(seed, plan):
    return (f"seed {seed}: {plan.deployment}, {plan.entries} entry instances, "
            f"servers x {plan.scale:.2f}, {plan.loads} loads of {plan.rate} requests a second, "
            f"{plan.seconds} s, {len(plan.faults)} faults")


def play(options, seed):
    """Plays one seed in this process and returns whether every promise was kept."""
    from . import soak_run

    plan = soak_run.Plan(seed)
    if options.plan:
        print(describe(seed, plan))
        for at, kind, _, seconds in plan.faults:
            print(f"  {at:7.2f} s  {kind}, {seconds:.2f} s")
        return True
    lock = topology.lock_slot()
    options.seed, options.seconds, options.deployment = seed, plan.seconds, plan.deployment
    start = time.monotonic()
    run = soak_run.Soak(options, plan)
    processes = 0
    try:
        problems = run.execute()
        processes = len(run.fleet.processes)
    finally:
        lock.close()
    figures = (f"{processes} processes, accepted {run.result.get('accepted')}, "
               f"answered {run.result.get('answered')}, {time.monotonic() - start:.0f} s")
    if not problems:
        print(f"kept    {describe(seed, plan)}; {figures}")
        if not options.keep:
            shutil.rmtree(run.folder)
        return True
    print(f"BROKEN  {describe(seed, plan)}; {figures}")
    for problem in problems:
        print(f"  {problem}")
    for items in run.result.get("violations", {}).values():
        for violation in items:
            print(f"  {violation['t_us'] - run.history['measure_from_us']} us after the start of "
                  f"the load: {violation['what']}")
    print("  faults:")
    for line in run.timeline:
        print(f"  {line}")
    print(f"  records are in {run.folder}")
    return False


def play_many(options, seeds):
    """Plays each seed in a process of its own; returns the numbers kept, broken and not run."""
    end = time.monotonic() + options.minutes * 60
    waiting = list(seeds)
    running = {}
    kept = broken = 0
    try:
        while running or (waiting and time.monotonic() < end):
            while waiting and len(running) < options.jobs and time.monotonic() < end:
                seed = waiting.pop(0)
                arguments = ["--seeds", "1", "--from", str(seed), "--build", options.build,
                             "--run-dir", options.run_dir, "--log-level", options.log_level]
                if options.keep:
                    arguments.append("--keep")
                running[seed] = subprocess.Popen([sys.executable, "-m", "demo.soak", *arguments])
            for seed, process in list(running.items()):
                code = process.poll()
                if code is not None:
                    del running[seed]
                    kept += code == 0
                    broken += code != 0
            time.sleep(POLL_S)
    finally:
        for process in running.values():
            process.terminate()
        for process in running.values():
            process.wait(STOP_TIMEOUT_S)
    return kept, broken, len(waiting)


def end_by_signal(signum, frame):
    """Lets the processes of the runs be stopped before this one ends."""
    raise SystemExit(128 + signum)


def main(arguments):
    sys.stdout.reconfigure(line_buffering=True)
    options = parse(arguments)
    seeds = read_seeds(options)
    signal.signal(signal.SIGTERM, end_by_signal)
    if options.plan or len(seeds) == 1:
        return 0 if all([play(options, seed) for seed in seeds]) else 1
    kept, broken, left = play_many(options, seeds)
    print(f"{kept} seeds kept every promise, {broken} broke one, {left} not run")
    return 0 if broken == 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
