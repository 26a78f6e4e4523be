"""Tasks that last fail now and then on a service that runs nothing else. Each
must be started again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

JOBS = 4
TASKS = 6
PLAY_S = 70.0
FAILS_AFTER_S = 30.0  # mean
NOT_RESTARTED_S = 9.0  # 3 s, from 6 s after the last run
FINISH_S = 14.0
QUIET_S = 3.0


def plan_with(trouble):
    def plan(_worker, run):
        if run.spec == "ordinary":
            run.lasts_s = 1.0
            return
        run.lasting = True
        if trouble:
            run.lasts_s = random.expovariate(1 / FAILS_AFTER_S) + 0.5
            run.end_how = "failed"
    return plan


async def main(deployment, trouble):
    record, ledger = deployment.record, deployment.ledger
    await deployment.open(3, plan_with(trouble), maxAttempts=2, stretch=2.2,
                          targetLatencyMs=2500)
    jobs = [deployment.job_id() for _ in range(JOBS)]
    for job in jobs:
        if not await deployment.submit(job, {"spec": "review", "steps": [
                {"count": TASKS, "cpu": 500, "memMb": 512, "estimateMs": 400,
                 "longRunning": True}]}):
            raise stand.CannotRun("a job isn't accepted")
    names = ["%s.0.0.%d" % (job, i) for job in jobs for i in range(TASKS)]
    for _ in range(80):
        await asyncio.sleep(0.1)
        if len({entry["task"] for entry in ledger.runs}) == len(names):
            break
    else:
        raise stand.CannotRun("not all tasks have started")
    record.say("bench", "started", len(names), "tasks")
    began = record.now()
    problems, since = {}, {}
    while record.now() - began < PLAY_S:
        await asyncio.sleep(0.25)
        now = record.now()
        at_work = {task for w in deployment.workers for task in w.running}
        for name in names:
            if name in at_work:
                since.pop(name, None)
            elif now - since.setdefault(name, now) > NOT_RESTARTED_S:
                problems.setdefault(name, "%s: a task that lasts hasn't run since %.1f s"
                                    % (name, since[name]))
    at_work = sum(len(w.running) for w in deployment.workers)
    used = at_work * 500 / (3 * 32000.0)
    failed = sum(1 for entry in ledger.runs if entry["how"] == "failed")
    ordinary = deployment.job_id()
    if await deployment.submit(ordinary, {"spec": "ordinary", "steps": [
            {"count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 1000}]}):
        await asyncio.sleep(FINISH_S + QUIET_S)
        runs = sum(1 for entry in ledger.runs if entry["task"].startswith(ordinary))
        if runs == 0:
            problems[ordinary] = "%s: an ordinary job, accepted %.0f s ago, hasn't begun" % (
                ordinary, FINISH_S + QUIET_S)
    states = [await deployment.state(job) for job in jobs]
    record.say("check", "end", at_work, "of", len(names), "tasks are at work;", failed,
               "runs failed; %.3f of the cores are in use;" % used, states)
    print("%d of %d tasks are at work, %d runs failed, %.3f of the cores are in use, %s" % (
        at_work, len(names), failed, used, states))
    if trouble and failed == 0:
        raise stand.CannotRun("no task has failed")
    return list(problems.values())


sys.exit(stand.play(HERE, main))
