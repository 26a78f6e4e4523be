"""A new configuration drops a route whose jobs are under way; then the entry
instances are restarted in turn. The jobs of the route must go on."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

FIRST_S = 18.0  # work of the first step, until all are restarted
SECOND_S = 1.0
FAILS_AT_S = 32.0  # one task that lasts fails then
NOT_RESTARTED_S = 9.0  # 3 s, from 6 s after the last run
FINISH_S = 14.0
QUIET_S = 3.0
OTHER = {"name": "r-7u27gxp", "pathPrefix": "/pufi791/"}


def plan(_worker, run):
    if run.spec == "lasting":
        run.lasting = True
    else:
        run.lasts_s = FIRST_S if run.task.split(".")[2] == "0" else SECOND_S


def routes(deployment, version, both):
    config = deployment.config(version)
    config["routes"].append({**config["routes"][0], **OTHER})
    if not both:
        config["routes"] = config["routes"][1:]
    return config


async def main(deployment, trouble):
    record, ledger = deployment.record, deployment.ledger
    await deployment.open(3, plan)
    deployment.store.put("keyed.op", "config", routes(deployment, 9, True))
    await asyncio.sleep(2.5)  # configApplyMs is 2,000
    job, lasting = deployment.job_id(), deployment.job_id()
    step = {"count": 4, "cpu": 1000, "memMb": 256}
    if not await deployment.submit(job, {"spec": "review", "steps": [
            {**step, "estimateMs": int(FIRST_S * 1000)},
            {**step, "estimateMs": int(SECOND_S * 1000), "after": [0]}]}):
        raise stand.CannotRun("a job isn't accepted")
    if not await deployment.submit(lasting, {"spec": "lasting", "steps": [
            {**step, "estimateMs": 400, "longRunning": True}]}):
        raise stand.CannotRun("a job isn't accepted")
    accepted = record.now()
    await asyncio.sleep(1.0)
    record.say("operator", "config", "version 12 drops the route of both jobs")
    deployment.store.put("keyed.op", "config", routes(deployment, 12, False))
    await asyncio.sleep(2.5)
    if trouble:  # roll_term: one at a time
        for instance in deployment.instances:
            instance.signal(signal.SIGTERM)
            while instance.process.poll() is None:
                await asyncio.sleep(0.05)
            if instance.process.returncode != 0:
                raise stand.CannotRun("%s ends with status %d" % (
                    instance.name, instance.process.returncode))
            instance.start()
            await asyncio.sleep(2.0)
    while record.now() - accepted < FAILS_AT_S:
        await asyncio.sleep(0.1)
    worker = next(w for w in deployment.workers
                  if any(r.spec == "lasting" for r in w.running.values()))
    run = next(r for r in worker.running.values() if r.spec == "lasting")
    record.say("bench", "fails", run.task, "on", worker.id)
    worker.end_run(run, "failed")
    await asyncio.sleep(max(NOT_RESTARTED_S, FIRST_S + FINISH_S + QUIET_S - FAILS_AT_S) + 1.0)
    problems = []
    if not any(run.task in w.running for w in deployment.workers):
        problems.append("%s, a task that lasts, hasn't been restarted for %.1f s" % (
            run.task, NOT_RESTARTED_S))
    done = sum(1 for e in ledger.runs if e["task"].startswith(job) and e["how"] == "done")
    begun = sum(1 for e in ledger.runs if e["task"].startswith(job + ".0.1."))
    if begun < 4:
        problems.append("%d of 4 tasks of the second step of job %s have begun, %.0f s after the "
                        "first step was done" % (begun, job, record.now() - max(
                            e["ended"] for e in ledger.runs if e["task"].startswith(job))))
    print("job %s: %d of 8 tasks are done; the task that lasts %s" % (
        job, done, "isn't restarted" if problems and run.task in problems[0] else "is restarted"))
    record.say("operator", "config", "version 15 has the route again")
    deployment.store.put("keyed.op", "config", routes(deployment, 15, True))
    await asyncio.sleep(5.0)
    print("with the route back, the job is", await deployment.state(job))
    return problems


sys.exit(stand.play(HERE, main))
