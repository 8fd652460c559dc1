"""Workers that were cut off while idle are never given work again."""

import asyncio
import json
import random
import time

from harness import CannotRun, Client, Link, System, Worker, main, manifest

WORKERS, CUT_OFF = 12, 2
CUT_S = 5.5
FINISH_S = 14
IDLE_S = 3


def job(label):
    """Return a job of two small subtasks that need a worker with a label."""
    step = {"count": 2, "cpu": 2000, "memMb": 1024, "gpu": 1, "estimatedMs": 1000}
    return {"spec": json.dumps({"work_s": 1.0}), "steps": [step | {"requiredLabel": label}]}


async def case(record, has_trouble):
    """Cut two idle workers off, join them again, and hand in a job for them."""
    rng = random.Random(5)
    system = System(record)
    links, workers = [], []
    try:
        for name in system.nodes:
            system.start(name)
        await system.put_manifest(manifest())
        for number in range(WORKERS):
            link = Link(record, f"i-{number}")
            ip = f"{system.worker_base}.{100 + number}"
            for control in system.controls:
                await link.listen(ip, control)
            labels = ["b" if number < CUT_OFF else "a", f"r1-{number % 3}"]
            zone = system.zones[number % 3]
            worker = Worker(record, f"i-{number}", ip, zone, labels, system.controls, link, rng)
            await worker.start()
            links.append(link)
            workers.append(worker)
        await system.until_ready()
        client = Client(record, system.fronts)
        await asyncio.sleep(4)
        for number, label in enumerate("ab"):
            await run_to_end(system, client, f"00000000000000a{number}", label)
        await asyncio.sleep(6)
        if has_trouble:
            for link in links[:CUT_OFF]:
                link.cut()
        await asyncio.sleep(CUT_S)
        for link in links[:CUT_OFF]:
            link.heal()
        await asyncio.sleep(8)
        await run_to_end(system, client, "00000000000000c0", "a")
        job_id = "00000000000000c1"
        status, _ = await client.call("POST", job_id, job("b"))
        if status != 200:
            raise CannotRun("the job was not accepted")
        await asyncio.sleep(FINISH_S)
        return await judge(client, workers, job_id)
    finally:
        for worker in workers:
            await worker.stop()
        for link in links:
            await link.close()
        system.close()


async def judge(client, workers, job_id):
    """Return what breaks LOST, `finish_s` after the end of the traffic; an empty text if nothing does.

    The job has to have nothing running for 3 s on end, while all workers are up and empty: so there
    is room for it twice over on those that it needs, and nothing of the service is in use.
    """
    if await state_of(client, job_id) == "completed":
        return ""
    due = time.monotonic() + IDLE_S
    while time.monotonic() < due:
        if any(worker.running for worker in workers):
            return ""
        if any(worker.state != "ready" for worker in workers):
            raise CannotRun("a worker is not up")
        await asyncio.sleep(0.02)
    state = await state_of(client, job_id)
    if state not in ("queued", "running"):
        return ""
    return f"LOST: job {job_id} is {state} and has had nothing running for {IDLE_S} s"


async def state_of(client, job_id):
    """Return the state of a job; without an answer the case can't be judged."""
    status, answer = await client.call("GET", job_id)
    if status != 200:
        raise CannotRun(f"no state of job {job_id}: {status}")
    return answer["state"]


async def run_to_end(system, client, job_id, label):
    """Submit a job and wait until it is completed."""
    await client.call("POST", job_id, job(label))

    async def is_completed():
        _, answer = await client.call("GET", job_id)
        return answer.get("state") == "completed"

    await system.until(is_completed, 12, f"job {job_id}")


main(case)
