import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_scheduling.scheduler.baseline import BaselineScheduler
from agateferry_scheduling.scheduler.scheduler import FairScheduler
from agateferry_service.cell.gauges import refresh_gauges
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.tests.support import (
    FakeWorkers,
    announcement,
    give_records,
    running_cell,
    set_evacuated,
    submission,
    until,
)
from agateferry_service.requests import RequestState
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import commands_pb2

PAUSE_S = 0.1
SCHEDULERS = (FairScheduler, BaselineScheduler)


def look(wait_ms=2_000, request_id="z.1"):
    return pb.LookRequest(request_id=request_id, wait_ms=wait_ms)


def evacuate_at(cell, kind, before):
    """Put an evacuation in force right before, or right after, the next command of a kind."""
    replica = cell.ctx.replica
    propose = replica.propose

    async def propose_with_evacuation(command):
        if commands_pb2.Command.FromString(command).WhichOneof("kind") != kind:
            return await propose(command)
        replica.propose = propose
        if before:
            set_evacuated(cell.ctx.machine)
        result = await propose(command)
        if not before:
            set_evacuated(cell.ctx.machine)
        return result

    replica.propose = propose_with_evacuation


class NewRequestTests(testtools.TestCase):
    def test_it_is_refused_as_not_run_with_a_time_to_retry(self):
        async def main():
            async with running_cell() as cell:
                set_evacuated(cell.ctx.machine)
                refusal = (await cell.submit(submission())).refusal
                return refusal, len(cell.ctx.machine.ledger)

        refusal, stored = run_async(main())
        self.assertEqual(("zone-evacuated", 0), (refusal.reason, stored))
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertIn("zone z is evacuated since 1970-01-01T00:00:01+00:00", refusal.detail)

    def test_a_resend_of_a_known_key_gets_its_request(self):
        async def main():
            async with running_cell() as cell:
                await cell.submit(submission("once", key="k"))
                set_evacuated(cell.ctx.machine)
                resent = submission("once", key="k", request_id="z.2")
                return (await cell.submit(resent)).view

        view = run_async(main())
        self.assertEqual(("z.1", "finished"), (view.id, view.state))

    def test_the_evacuation_of_another_zone_changes_nothing(self):
        async def main():
            async with running_cell() as cell:
                set_evacuated(cell.ctx.machine, zone="y")
                return (await cell.submit(submission())).view.state

        self.assertEqual("finished", run_async(main()))

    def test_it_runs_after_the_readmission(self):
        async def main():
            async with running_cell() as cell:
                set_evacuated(cell.ctx.machine)
                await cell.submit(submission())
                set_evacuated(cell.ctx.machine, False)
                return (await cell.submit(submission())).view.state

        self.assertEqual("finished", run_async(main()))


class WaitingRequestTests(testtools.TestCase):
    async def wait_in_zone(self, scheduler, check):
        """Evacuate the zone while a request waits for a worker, and then let a worker join."""
        workers = FakeWorkers()
        async with running_cell(workers, (), scheduler=scheduler) as cell:
            await cell.submit(submission(wait_ms=0))
            set_evacuated(cell.ctx.machine)
            await cell.announce(announcement("w1"))
            await asyncio.sleep(PAUSE_S)
            found = await check(cell), dict(workers.starts)
            set_evacuated(cell.ctx.machine, False)
            return *found, (await cell.get_request(look())).view

    def test_it_waits_for_the_readmission_and_its_caller_sees_why(self):
        async def check(cell):
            return (await cell.get_request(look(0))).view

        for scheduler in SCHEDULERS:
            waiting, starts, ended = run_async(self.wait_in_zone(scheduler, check))
            self.assertEqual(
                ("accepted", "zone-evacuated", "not-run"),
                (waiting.state, waiting.reason, waiting.run),
            )
            self.assertIn("waits for its readmission", waiting.detail)
            self.assertEqual(({}, "finished", ""), (starts, ended.state, ended.reason))

    def test_at_most_one_placement_is_proposed_meanwhile(self):
        """A scheduler that does not know of the evacuation would propose one after the other.

        One is possible, because the leader tells its scheduler of new records at its next tick.
        """

        async def check(cell):
            registry = cell.ctx.metrics.registry
            labels = {"log": "cell", "outcome": "applied"}
            return registry.get_sample_value("agateferry_proposals_total", labels)

        for scheduler in SCHEDULERS:
            proposals, _, _ = run_async(self.wait_in_zone(scheduler, check))
            barrier, accept, worker, placement = 1, 1, 1, 1
            self.assertLessEqual(proposals, barrier + accept + worker + placement)

    def test_operators_see_why(self):
        async def check(cell):
            replies = [
                await cell.query(pb.QueryRequest(what=what, name="z.1"))
                for what in ("explain", "evacuation")
            ]
            return [reply.body for reply in replies]

        (explanation, evacuation), _, _ = run_async(self.wait_in_zone(FairScheduler, check))
        self.assertIn("evacuation of z", explanation)
        self.assertEqual('{"evacuated": true, "running": 0, "queued": 1}', evacuation)


class InFlightTests(testtools.TestCase):
    """The evacuation comes into force between a decision to start and the start."""

    async def evacuate_during_start(self, kind, before, scheduler=FairScheduler):
        workers = FakeWorkers()
        names = ("w1",) if kind == "accept" else ()
        async with running_cell(workers, names, scheduler=scheduler) as cell:
            evacuate_at(cell, kind, before)
            await cell.submit(submission(wait_ms=0))
            if kind == "place":
                await cell.announce(announcement("w1"))
            await asyncio.sleep(PAUSE_S)
            request = cell.ctx.machine.ledger.get("z.1")
            before_readmission = dict(workers.starts), request.state, request.attempt
            set_evacuated(cell.ctx.machine, False)
            view = (await cell.get_request(look())).view
        return *before_readmission, view.state, dict(workers.starts)

    def test_a_placement_applied_after_it_is_dropped(self):
        for kind in ("accept", "place"):
            found = run_async(self.evacuate_during_start(kind, before=True))
            expected = ({}, RequestState.ACCEPTED, 0, "finished", {("z.1", 0): 1})
            self.assertEqual(expected, found, kind)

    def test_a_placement_applied_before_it_is_not_sent(self):
        for kind in ("accept", "place"):
            found = run_async(self.evacuate_during_start(kind, before=False))
            expected = ({}, RequestState.ACCEPTED, 1, "finished", {("z.1", 0): 1})
            self.assertEqual(expected, found, kind)


class RunningRequestTests(testtools.TestCase):
    def test_it_goes_on(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission(wait_ms=0))
                await until(lambda: workers.starts)
                set_evacuated(cell.ctx.machine)
                await asyncio.sleep(PAUSE_S)
                refresh_gauges(cell.ctx.metrics, cell.ctx.machine)
                workers.finish("z.1.1.0")
                view = (await cell.get_request(look())).view
                return view.state, view.attempt, cell.ctx.metrics.registry

        state, attempt, registry = run_async(main())
        self.assertEqual(("finished", 1), (state, attempt))
        gauges = ("agateferry_zone_evacuated", "agateferry_evacuated_zone_running")
        self.assertEqual([1.0, 1.0], [registry.get_sample_value(name) for name in gauges])


class NextLeaderTests(testtools.TestCase):
    async def run_with_two_leaders(self, restarted):
        """Evacuate under one leader; the next one has its log, or a snapshot after a restart."""
        workers = FakeWorkers()
        async with running_cell(workers, ()) as cell:
            machine = cell.ctx.machine
            await cell.submit(submission(wait_ms=0))
            set_evacuated(machine)
        if restarted:
            snapshot, machine = machine.snapshot(), CellMachine("z")
            machine.restore(snapshot)
        async with running_cell(workers, ("w1",), machine, FairScheduler) as cell:
            await asyncio.sleep(PAUSE_S)
            starts = dict(workers.starts)
            refused = (await cell.submit(submission(request_id="z.2"))).refusal.reason
            set_evacuated(machine, False)
            return starts, refused, (await cell.get_request(look())).view.state

    def test_it_knows_the_evacuation(self):
        for restarted in (False, True):
            found = run_async(self.run_with_two_leaders(restarted))
            self.assertEqual(({}, "zone-evacuated", "finished"), found)

    def test_it_does_not_start_a_placement_that_was_never_sent(self):
        """Each new leader sends the starts of placements that it finds in the log."""
        workers, unsent = FakeWorkers(), FakeWorkers()
        unsent.silent.update(("w1", "w2"))

        async def main():
            async with running_cell(workers) as cell:
                cell.ctx.workers = unsent
                await cell.submit(submission("once", key="k", wait_ms=0))
                machine = cell.ctx.machine
            set_evacuated(machine)
            async with running_cell(workers, (), machine, FairScheduler) as cell:
                await asyncio.sleep(PAUSE_S)
                starts = dict(workers.starts)
                set_evacuated(machine, False)
                return starts, (await cell.get_request(look())).view.state

        self.assertEqual(({}, "finished"), run_async(main()))
        self.assertEqual({("z.1", 0): 1}, workers.starts)


class RecordsOfOtherKindsTests(testtools.TestCase):
    def test_a_cell_without_an_evacuation_record_is_not_evacuated(self):
        machine = CellMachine("z")
        give_records(machine)
        self.assertIsNone(machine.catalog.evacuation())
