import asyncio
import itertools
import time
from collections import Counter

import testtools
from expression import Error

from agateferry_core.support import run_async
from agateferry_scheduling.scheduler.scheduler import FairScheduler
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.tests.support import (
    FakeWorkers,
    give_records,
    running_cell,
    submission,
    until,
)
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.replica import ProposeError, ProposeErrorKind

URGENT_START_LIMIT_S = 3.6


def lose_leadership_at(replica, step, applied):
    """Lose leadership at command number `step`, with outcome unknown; apply it if `applied`."""
    propose, numbers = replica.propose, itertools.count()

    async def propose_until_lost(command):
        if not replica.is_leader or next(numbers) < step:
            return await propose(command)
        if applied:
            await propose(command)
        replica.is_leader = False
        return Error(ProposeError(ProposeErrorKind.UNKNOWN))

    replica.propose = propose_until_lost


class StepSweepTests(testtools.TestCase):
    """Leadership is lost at each command of a request in turn, and the caller resends it."""

    STEPS = 6

    async def run_with_loss(self, job, step, applied):
        workers = FakeWorkers()
        async with running_cell(workers) as cell:
            machine = cell.ctx.machine
            lose_leadership_at(cell.ctx.replica, step, applied)
            await cell.submit(submission(job, key="k", wait_ms=60))
            started_uncommitted = not len(machine.ledger) and bool(workers.starts)
        async with running_cell(workers, names=(), machine=machine) as cell:
            resent = submission(job, key="k", request_id="z.2")
            view = (await cell.submit(resent)).view
        return started_uncommitted, view.state, sorted(workers.starts.values())

    async def run_with_dispatch_before_commit(self):
        """Restore the state from before a submission, as if its commands were never committed."""
        workers, machine = FakeWorkers(), CellMachine("z")
        async with running_cell(workers) as cell:
            machine.restore(cell.ctx.machine.snapshot())
            await cell.submit(submission("once", key="k"))
        async with running_cell(workers, names=(), machine=machine) as cell:
            await cell.submit(submission("once", key="k", request_id="z.2"))
        return sorted(workers.starts.values())

    def test_the_sweep_detects_a_dispatch_before_the_commit(self):
        self.assertEqual([1, 1], run_async(self.run_with_dispatch_before_commit()))

    def sweep(self, job, starts):
        for step in range(self.STEPS):
            for applied in (True, False):
                found = run_async(self.run_with_loss(job, step, applied))
                self.assertEqual((False, "finished", starts), found, f"{step} {applied}")

    def test_a_job_that_is_not_idempotent_runs_once(self):
        self.sweep("once", [1])

    def test_all_members_of_a_gang_run_once(self):
        self.sweep("gang", [1, 1, 1])


class MassCancellationTests(testtools.TestCase):
    """All waiting requests are cancelled at once, and an urgent request is submitted after them."""

    REQUESTS = 10_000

    def test_an_urgent_request_starts_in_time(self):
        """Processor time is measured, because other processes do not affect it."""
        workers = FakeWorkers()
        workers.finish_at_once = False
        ids = [f"z.{number}" for number in range(self.REQUESTS)]

        async def main():
            machine = CellMachine("z")
            give_records(machine, max_queued=self.REQUESTS)
            give_records(machine, team="u")
            async with running_cell(workers, machine=machine, scheduler=FairScheduler) as cell:
                for name in ids:
                    await cell.submit(submission("gang", wait_ms=0, request_id=name))
                cancels = [
                    asyncio.create_task(cell.cancel(pb.CancelRequest(request_id=name)))
                    for name in ids
                ]
                urgent = submission(wait_ms=0, request_id="z.u")
                urgent.team = "u"
                began_s = time.process_time()
                await cell.submit(urgent)
                await until(lambda: ("z.u", 0) in workers.starts)
                took_s = time.process_time() - began_s
                views = [reply.view for reply in await asyncio.gather(*cancels)]
                return took_s, {view.state for view in views}

        took_s, states = run_async(main(), 120)
        self.assertEqual({"cancelled"}, states)
        self.assertTrue(took_s <= URGENT_START_LIMIT_S, took_s)

    def test_a_leader_change_during_mass_cancellation_loses_none(self):
        for step in (0, 100, 199):
            for applied in (True, False):
                found = run_async(self.cancel_all_with_leader_loss(step, applied))
                self.assertEqual({"cancelled": 200}, dict(found), f"{step} {applied}")

    async def cancel_all_with_leader_loss(self, step, applied):
        workers, machine = FakeWorkers(), CellMachine("z")
        workers.finish_at_once = False
        give_records(machine)
        cancels = [pb.CancelRequest(request_id=f"z.{number}") for number in range(200)]
        async with running_cell(workers, machine=machine, scheduler=FairScheduler) as cell:
            for cancel in cancels:
                asked = submission("gang", wait_ms=0, request_id=cancel.request_id)
                await cell.submit(asked)
            lose_leadership_at(cell.ctx.replica, step, applied)
            calls = asyncio.gather(*map(cell.cancel, cancels))
            await until(lambda: not cell.ctx.replica.is_leader)
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
        async with running_cell(workers, (), machine, FairScheduler) as cell:
            again = asyncio.gather(*map(cell.cancel, cancels))
            await cell.submit(submission(wait_ms=0, request_id="z.u"))
            await until(lambda: ("z.u", 0) in workers.starts)
            return Counter(reply.view.state for reply in await again)
