"""The leader is killed while many jobs wait: which count of waiting jobs do the others give?"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import harness  # noqa: E402

JOBS = 2000
SPEC = "x" * 4000  # a spec may have up to 4,000 bytes
AT_ONCE = 20  # clients
VISIBLE_S = 3
POLL_S = 6


def deployment_of(folder):
    # One task of a core is all that the tenant may run; the other jobs wait.
    deployment = harness.Deployment(
        folder, instances=3, maximum={"cpu": 1000, "memMb": 0, "gpus": 0}
    )
    for i in range(8):
        worker = deployment.add_worker(
            {"cpu": 16000, "memMb": 65536, "gpus": 0}, ["a", "r1-%d" % (i // 5)]
        )
        worker.work = lambda w, run: None
    deployment.percent = lambda run: min(int(time.monotonic() - run.began), 99)
    return deployment


async def play(deployment):
    numbers = iter(range(JOBS))
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 100000}

    async def client():
        for number in numbers:
            job = "%016x" % (0xC0000 + number)
            for attempt in range(5):
                answer = await deployment.request(
                    deployment.instances[(number + attempt) % 3],
                    "POST",
                    job,
                    {"spec": SPEC, "steps": [step]},
                    log=False,
                )
                if 200 <= answer.status < 300:
                    break
                await asyncio.sleep(0.5)
            else:
                raise harness.CannotRun("job %s wasn't accepted" % job)

    await asyncio.gather(*(client() for _ in range(AT_ONCE)))
    await asyncio.sleep(VISIBLE_S + 2)
    waiting = JOBS - len({r.task for _, _, r in deployment.begun})
    leader = await deployment.find_leader()
    wrong = []

    async def poll(instance):
        until = time.monotonic() + POLL_S
        answers = 0
        while time.monotonic() < until:
            answer = await deployment.request(instance, "GET", "", log=False)
            if answer.status == 200:
                answers += 1
                if answer.json()["waiting"] < waiting / 2:
                    wrong.append((instance.name, answer.json()["waiting"]))
                    deployment.record("client: GET (count) to %s: %s" % wrong[-1])
            await asyncio.sleep(0.02)
        deployment.record("client: %d counts from %s" % (answers, instance.name))

    polls = [poll(i) for i in deployment.instances if i is not leader or not harness.TROUBLE]
    if harness.TROUBLE:
        await leader.kill()
    await asyncio.gather(*polls)
    deployment.record(
        "verdict: %d jobs have waited for over %d s; counts under half of that: %d %s"
        % (waiting, VISIBLE_S + 2, len(wrong), wrong[:5])
    )
    return not wrong


harness.main(deployment_of, play)
