"""A worker goes down and up by turns, three times. A job that only it can run
has no run that ended `failed`, so it mustn't be shown as failed."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

WORKERS = 8  # of which one is of kind b: a share of 0.125
TASK_S = 4.0
UP_S = 1.0  # from the start of the task to the crash
DOWN_S = 1.5
CRASHES = 3
PLAY_S = 30.0


def plan(_worker, run):
    run.lasts_s = TASK_S


async def main(deployment, trouble):
    record, ledger = deployment.record, deployment.ledger
    await deployment.open(WORKERS, plan, labels=["a"] * (WORKERS - 1) + ["b"])
    worker = deployment.workers[-1]
    job = deployment.job_id()
    if not await deployment.submit(job, {"spec": "review", "steps": [
            {"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": int(TASK_S * 1000),
             "requires": "b"}]}):
        raise stand.CannotRun("the job isn't accepted")
    began = record.now()
    crashes = 0
    while record.now() - began < PLAY_S:
        await asyncio.sleep(0.05)
        if not trouble or crashes == CRASHES or not worker.running:
            continue
        await asyncio.sleep(UP_S)
        if not worker.running:
            continue
        worker.crash()
        crashes += 1
        await asyncio.sleep(DOWN_S)
        await worker.start()
    if trouble and crashes < CRASHES:
        record.say("check", "only", crashes, "crashes")
    failed = [e for e in ledger.runs if e["how"] == "failed"]
    state = await deployment.state(job)
    print("the worker crashed %d times, %d runs, %d ended failed, the job is %s" % (
        crashes, len(ledger.runs), len(failed), state))
    problems = []
    if state in ("failed", "cancelled") and not failed:
        problems.append("job %s is shown as %s; none of its %d runs has ended failed" % (
            job, state, len(ledger.runs)))
    elif state != "completed":
        problems.append("job %s is shown as %s" % (job, state))
    return problems


sys.exit(stand.play(HERE, main))
