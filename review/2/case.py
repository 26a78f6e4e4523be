"""A worker has more than 500 ends that aren't taken note of, as the store is
down: it lists the first 500. Nothing that ended `done` may run again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

TASKS = 700
TASK_S = 3.0  # mean; the tasks take 0.6 to 1.4 times as long
DOWN_S = 4.2


def plan(_worker, run):
    run.lasts_s = random.uniform(0.6, 1.4) * TASK_S


async def main(deployment, trouble):
    record, ledger = deployment.record, deployment.ledger
    await deployment.open(3, plan)
    job = deployment.job_id()
    if not await deployment.submit(job, {"spec": "review", "steps": [
            {"count": TASKS, "cpu": 40, "memMb": 64, "estimateMs": int(TASK_S * 1000)}]}):
        raise stand.CannotRun("the job isn't accepted")
    for _ in range(100):
        await asyncio.sleep(0.1)
        if len(ledger.runs) >= TASKS:
            break
    else:
        raise stand.CannotRun("only %d tasks have started" % len(ledger.runs))
    record.say("bench", "started", TASKS, "tasks;", {
        w.id: len(w.running) for w in deployment.workers})
    if trouble:
        await asyncio.sleep(1.0)
        record.say("store", "down", "resets for", DOWN_S, "s")
        deployment.store.down = "reset"
        await asyncio.sleep(DOWN_S)
        deployment.store.down = None
        record.say("store", "up", "unacked ends:", {
            w.id: len(w.ended) for w in deployment.workers})
    state = None
    for _ in range(20):
        await asyncio.sleep(2.0)
        state = await deployment.state(job)
        if state == "completed":
            break
    await asyncio.sleep(3.0)  # what is still running, and its ends
    record.say("check", "state", state, "runs:", len(ledger.runs))
    print("%d tasks, %d runs, the job is %s" % (TASKS, len(ledger.runs), state))
    return ledger.twice()


sys.exit(stand.play(HERE, main))
