"""Both workers of a gang crash at once: with which checkpoints are its tasks started again?"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import harness  # noqa: E402

JOB = "00000000000000a1"
CHECKPOINT_S = 2
TASK_S = 60
DOWN_S = 1.0
CRASH_AFTER_S = 0.4  # after the latest checkpoint
ROUNDS = 6


def deployment_of(folder):
    deployment = harness.Deployment(folder, instances=3)
    # Racks of two; two of 16 workers (0.125) crash at a time.
    for i in range(16):
        worker = deployment.add_worker(
            {"cpu": 16000, "memMb": 65536, "gpus": 8}, ["a", "r1-%d" % (i // 2)]
        )
        worker.work = work
    deployment.percent = lambda run: min(int((time.monotonic() - run.began) * 100 / TASK_S), 99)
    return deployment


def work(worker, run):
    if not run.task.startswith(JOB) and time.monotonic() - run.began >= 0.3:
        worker.end(run, "done")


def gang(deployment):
    return {
        r.task: (w, r)
        for w in deployment.workers
        for r in w.running.values()
        if r.task.startswith(JOB)
    }


async def send_small_jobs(deployment):
    """Other work: a job of one short task now and then."""
    number = 0
    while True:
        await asyncio.sleep(0.7)
        number += 1
        await deployment.request(
            deployment.instances[number % 3],
            "POST",
            "%016x" % (0xB000 + number),
            {"spec": "short", "steps": [{"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 300}]},
            log=False,
        )


async def play(deployment):
    await deployment.submit(
        JOB,
        [
            {
                "count": 2,
                "cpu": 15000,
                "memMb": 8192,
                "gpus": 8,
                "estimateMs": TASK_S * 1000,
                "gang": True,
                "checkpointing": True,
            }
        ],
    )
    others = asyncio.ensure_future(send_small_jobs(deployment))
    differing = []
    for round_ in range(ROUNDS):
        until = time.monotonic() + 15
        while len(gang(deployment)) < 2 and time.monotonic() < until:
            await asyncio.sleep(0.02)
        members = gang(deployment)
        if len(members) < 2:
            raise harness.CannotRun("the gang doesn't start")
        number = max(r.run for _, r in members.values())
        sent = {
            body["task"]: body.get("checkpoint", "")
            for _, _, body in deployment.starts
            if body["run"] == number and body["task"].startswith(JOB)
        }
        deployment.record("round %d: run %d, checkpoints %s" % (round_, number, sent))
        if len(set(sent.values())) > 1:
            differing.append((number, dict(sent)))
        # They work together; a new value comes with each 2 s of work, the same for both.
        together = time.monotonic()
        lasts = 2 * CHECKPOINT_S + CRASH_AFTER_S
        while time.monotonic() - together < lasts:
            await asyncio.sleep(0.02)
            marks = int((time.monotonic() - together) / CHECKPOINT_S)
            for _, run in gang(deployment).values():
                if marks > 0:
                    run.checkpoint = "%08x%08x" % (number, marks)
        if not harness.TROUBLE:
            continue
        crashed = {w for w, _ in gang(deployment).values()}
        for worker in crashed:
            await worker.crash()
        await asyncio.sleep(DOWN_S)
        for worker in crashed:
            await worker.start()
    others.cancel()
    deployment.record("verdict: starts of one gang with differing checkpoints: %s" % (differing or "none"))
    return not differing


harness.main(deployment_of, play)
