"""All machines lose power, one doesn't come back; then a worker is lost: does its task go on?"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import harness  # noqa: E402

JOB = "00000000000000a1"
TASKS = 4
DARK_S = 1.5  # of the machines that come back
WORKER_LOST_S = 4  # after that
# A task that lasts: from 6 s after its last run, for 3 s; and these 3 s and the 4 s before are calm.
IDLE_MAX_S = 6 + 3
WATCH_S = 40


def deployment_of(folder):
    deployment = harness.Deployment(folder, instances=3)
    for i in range(8):
        deployment.add_worker(
            {"cpu": 16000, "memMb": 65536, "gpus": 0}, ["a", "r1-%d" % (i // 5)]
        )
    deployment.percent = lambda run: 100 if time.monotonic() - run.began > 0.4 else 0
    return deployment


async def play(deployment):
    await deployment.submit(
        JOB,
        [{"count": TASKS, "cpu": 1000, "memMb": 512, "estimateMs": 400, "longRunning": True, "antiAffinity": 1}],
    )
    await asyncio.sleep(6)
    lost = next(w for w in deployment.workers if w.running)
    task = next(iter(lost.running))
    if harness.TROUBLE:
        leader = await deployment.find_leader()
        deployment.record("all machines lose power; %s, the leader's, is gone for good" % leader.name)
        await asyncio.gather(*(i.kill() for i in deployment.instances))
        await asyncio.sleep(DARK_S)
        deployment.instances.remove(leader)
        for instance in deployment.instances:
            await instance.start()
    await asyncio.sleep(WORKER_LOST_S)
    await lost.crash(for_good=True)  # with TROUBLE=0, too
    deployment.workers.remove(lost)
    began = time.monotonic()
    idle_s = 0.0
    runs = False
    while not runs and time.monotonic() - began < WATCH_S:
        await asyncio.sleep(0.05)
        runs = any(task in w.running for w in deployment.workers)
        idle_s = time.monotonic() - began
    deployment.record(
        "verdict: %s was idle for %.1f s after its worker was lost (at most %d s), with 7 sound workers "
        "of 16 cores that run %d tasks of 1 core; at the end it %s"
        % (task, idle_s, IDLE_MAX_S, TASKS - 1, "runs" if runs else "doesn't run")
    )
    return idle_s <= IDLE_MAX_S


harness.main(deployment_of, play)
