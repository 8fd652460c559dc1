"""Runs and leases against workers that lose orders, carry them out late, twice and out of order.

Everything runs in virtual time from a seed. After each step the promises are checked on what the
workers really run, and planted faults show that the checks find what they are for.
"""

import asyncio
import random
from unittest import mock

import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning.fleet import WorkerAllocation
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.session import Phase, WorkerSession

SEEDS = range(1, 41)
STEPS = 120
TICK_S = 0.02
BEAT_TICKS = 75
PROGRESS = 0.1
SETTLE_S = 90
HALF = Resources(cpu=1000, mem_mb=100, gpu=4)
SINGLE = JobSpec("payload", (StepSpec(2, HALF),))
GANG = JobSpec("payload", (StepSpec(3, HALF, is_gang=True),))
LEASE_MS = 3000


class BrokenError(Exception):
    """A promise was broken."""


class World:
    """Three workers, one leader, and a seed that decides what happens to them."""

    def __init__(self, loop, seed):
        self.clock = loop
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.incarnations = {f"w{number}": worker(f"w{number}") for number in range(3)}
        self.ports = {id: self.new_port(1) for id in self.incarnations}
        self.orders = []
        self.started_done = None
        self.ids = [f"{number:016x}" for number in range(8)]
        self.replica = MemoryReplica(self.ledger)
        self.leader = Leader(self.replica, self.ledger, loop, self.port_to, LEASE_MS)

    def new_port(self, born):
        port = ModelWorker(self.clock, born)
        carry_out = port.execute

        def checked(order):
            before = len(port.starts)
            answer = carry_out(order)
            if len(port.starts) > before and self.is_done(order.key):
                self.started_done = order.key
            return answer

        port.execute = checked
        return port

    def is_done(self, key):
        """Tell whether the end of a subtask as done is stored."""
        job = self.ledger.jobs.get(key[0])
        return job is not None and key[1] in job.subtasks and job.subtasks[key[1]].is_done

    def port_to(self, incarnation):
        port = self.ports[incarnation.id]
        if port.born != incarnation.born:
            port = self.new_port(incarnation.born)
            port.is_replaced = True
        return port

    async def play(self):
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(manifest()))
        ticking = asyncio.create_task(self.tick_for_ever())
        try:
            for step in range(STEPS):
                await asyncio.sleep(self.rng.uniform(0.02, 0.15))
                if step % 12 == 0:
                    await self.submit(self.ids[step // 12 % len(self.ids)])
                await self.rng.choice(self.troubles())()
                if ticking.done():
                    break
            if not ticking.done():
                await self.settle()
        finally:
            is_broken = ticking.done()
            ticking.cancel()
            await self.leader.close()
        if is_broken:
            ticking.result()

    def troubles(self):
        return (
            *[self.end_a_run] * 4,
            *[self.carry_out_late] * 2,
            self.lose_orders,
            self.repeat_an_order,
            self.cut,
            self.heal,
            self.be_born_again,
            self.change_leader,
        )

    async def submit(self, id):
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        await self.leader.handle(messages.Submit(target, self.rng.choice((SINGLE, GANG))))

    def any_port(self):
        return self.ports[self.rng.choice(sorted(self.ports))]

    async def end_a_run(self):
        port = self.any_port()
        if port.running:
            outcome = self.rng.choice(("done", "done", "failed"))
            key = self.rng.choice(sorted(port.running))
            port.end(key, outcome if outcome == "failed" or self.is_whole(key[0]) else "alone")

    def is_whole(self, job):
        """Tell whether all members of a gang are at work; before that none can be done."""
        held = self.ledger.jobs.get(job)
        if held is None or not held.spec.steps[0].is_gang:
            return True
        members = {key for port in self.ports.values() for key in port.running if key[0] == job}
        return len(members) == held.spec.steps[0].count

    async def lose_orders(self):
        self.any_port().orders_to_lose = self.rng.randint(1, 3)

    async def carry_out_late(self):
        port = self.any_port()
        if port.delayed_orders:
            order = port.delayed_orders.pop(self.rng.randrange(len(port.delayed_orders)))
            self.orders.append((port, order))
            port.execute(order)

    async def repeat_an_order(self):
        if self.orders:
            port, order = self.rng.choice(self.orders)
            if port in self.ports.values():
                port.execute(order)

    async def cut(self):
        self.any_port().is_unreachable = True

    async def heal(self):
        for port in self.ports.values():
            port.is_unreachable = False

    async def be_born_again(self):
        id = self.rng.choice(sorted(self.ports))
        old = self.ports[id]
        old.is_replaced = True
        old.running.clear()
        self.incarnations[id] = worker(id, born=old.born + 1)
        self.ports[id] = self.new_port(old.born + 1)
        await self.leader.handle(messages.Heartbeat(self.incarnations[id], 1))

    async def change_leader(self):
        self.replica.lead(False)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.replica.lead()

    async def settle(self):
        """Let all troubles end; every job must come to its end then."""
        await self.heal()
        for port in self.ports.values():
            port.orders_to_lose = 0
        end_s = self.clock.time() + SETTLE_S
        while not all(job.is_over for job in self.ledger.jobs.values()):
            if self.clock.time() > end_s:
                raise BrokenError("a job did not come to its end")
            await asyncio.sleep(0.2)
            await self.end_a_run()

    async def tick_for_ever(self):
        for tick in range(1_000_000):
            for port in self.ports.values():
                port.expire_lease()
                port.progress_percent = (port.progress_percent + PROGRESS) % 99
            self.check()
            if tick % BEAT_TICKS == 0:
                await self.heartbeat()
            await asyncio.sleep(TICK_S)

    async def heartbeat(self):
        for id, port in self.ports.items():
            if not port.is_unreachable and self.replica.is_leader:
                await self.leader.handle(
                    messages.Heartbeat(self.incarnations[id], self.clock.now_ms())
                )

    def check(self):
        self.check_once()
        self.check_room()
        if self.started_done:
            raise BrokenError(f"{self.started_done} started after it was done")

    def check_once(self):
        held = [key for port in self.ports.values() for key in port.running]
        for key in held:
            if held.count(key) > 1:
                raise BrokenError(f"{key} runs twice")

    def check_room(self):
        for port in self.ports.values():
            if len(port.running) * HALF.gpu > WORKER_CAPACITY.gpu:
                raise BrokenError(f"more than fits: {sorted(port.running)}")


def play(seed):
    run_virtual(lambda loop: World(loop, seed).play())


def first_broken(seeds=SEEDS):
    """Return the first seed at which a promise breaks, or None."""
    for seed in seeds:
        try:
            play(seed)
        except BrokenError:
            return seed
    return None


class PromiseTests(testtools.TestCase):
    def test_promises_hold_whatever_becomes_of_orders(self):
        for seed in SEEDS:
            try:
                play(seed)
            except BrokenError as exc:
                raise AssertionError(f"seed {seed}: {exc}") from exc


class PlantedFaultTests(testtools.TestCase):
    def assert_found(self, target, name, fault):
        with mock.patch.object(target, name, fault):
            self.assertIsNotNone(first_broken(), "the planted fault was not found")

    def test_a_lease_that_is_taken_for_over_too_soon(self):
        self.assert_found(Lease, "is_over", lambda lease, now_ms: True)

    def test_an_order_without_an_answer_that_is_not_fenced_off(self):
        def mark_uncertain(session, tracked):
            tracked.phase = Phase.UNCERTAIN
            tracked.known_at = session._poll_number
            session._wake.set()

        self.assert_found(WorkerSession, "_mark_uncertain", mark_uncertain)

    def test_room_of_runs_that_are_being_stopped_or_started_does_not_count(self):
        def allocate(worker, job, subtask):
            worker.free_slots -= 1

        self.assert_found(WorkerAllocation, "allocate", allocate)
