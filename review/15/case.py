"""Workers that were cut off while idle are never given work again."""

import asyncio
import json
import random
import time

from harness import Client, Link, System, Worker, main, manifest

WORKERS, CUT_OFF = 12, 2
CUT_S = 5.5
FINISH_S = 14


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
            return ""
        due = time.monotonic() + FINISH_S
        while time.monotonic() < due:
            await asyncio.sleep(1)
            _, answer = await client.call("GET", job_id)
            if answer.get("state") == "completed":
                return ""
        seconds_idle = 0
        for _ in range(4):
            if any(worker.running for worker in workers):
                return ""
            seconds_idle += 1
            await asyncio.sleep(1)
        _, answer = await client.call("GET", job_id)
        if answer.get("state") in ("queued", "running") and seconds_idle == 4:
            return f"LOST: job {job_id} has had nothing running since it was accepted"
        return ""
    finally:
        for worker in workers:
            await worker.stop()
        for link in links:
            await link.close()
        system.close()


async def run_to_end(system, client, job_id, label):
    """Submit a job and wait until it is completed."""
    await client.call("POST", job_id, job(label))

    async def is_completed():
        _, answer = await client.call("GET", job_id)
        return answer.get("state") == "completed"

    await system.until(is_completed, 12, f"job {job_id}")


main(case)
