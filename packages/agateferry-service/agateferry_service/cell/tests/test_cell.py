import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_service.cell.tests.support import (
    FakeWorkers,
    announcement,
    give_records,
    running_cell,
    submission,
    until,
)
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.replica import ProposeErrorKind


class SubmitTests(testtools.TestCase):
    def test_a_request_returns_all_answers(self):
        async def main():
            async with running_cell() as cell:
                return (await cell.submit(submission())).view

        view = run_async(main())
        self.assertEqual(("finished", ["answer of z.1.1.0"]), (view.state, list(view.answers)))

    def test_a_refused_request_is_not_stored(self):
        async def main():
            async with running_cell() as cell:
                reply = await cell.submit(submission(job="nonsense"))
                return reply.refusal.reason, len(cell.ctx.machine.ledger)

        self.assertEqual(("unknown-job", 0), run_async(main()))

    def test_a_job_that_is_not_idempotent_needs_a_key(self):
        async def main():
            async with running_cell() as cell:
                return (await cell.submit(submission(job="once"))).refusal.reason

        self.assertEqual("key-required", run_async(main()))

    def test_an_infeasible_request_is_refused_at_once(self):
        async def main():
            async with running_cell() as cell:
                huge = pb.SubmitRequest()
                huge.CopyFrom(submission())
                huge.demand.members, huge.demand.accelerators = 1, 64
                huge.demand.adjacency = "worker"
                return (await cell.submit(huge)).refusal

        refusal = run_async(main())
        self.assertEqual(("infeasible", 0), (refusal.reason, refusal.retry_after_ms))

    def test_a_resend_with_the_same_key_runs_nothing_again(self):
        workers = FakeWorkers()

        async def main():
            async with running_cell(workers) as cell:
                first = await cell.submit(submission("once", key="k"))
                again = await cell.submit(submission("once", key="k", request_id="z.2"))
                return first.view.id, again.view.id

        self.assertEqual(("z.1", "z.1"), run_async(main()))
        self.assertEqual({("z.1", 0): 1}, workers.starts)

    def test_two_concurrent_submissions_with_one_key_run_once(self):
        workers = FakeWorkers()

        async def main():
            async with running_cell(workers) as cell:
                sends = (
                    cell.submit(submission("once", key="k", request_id=f"z.{n}")) for n in (1, 2)
                )
                return {reply.view.id for reply in await asyncio.gather(*sends)}

        self.assertEqual(1, len(run_async(main())))
        self.assertEqual([1], list(workers.starts.values()))

    def test_the_same_key_with_another_body_is_refused(self):
        async def main():
            async with running_cell() as cell:
                await cell.submit(submission("once", key="k"))
                other = submission("once", key="k", request_id="z.2", digest=b"other")
                return (await cell.submit(other)).refusal.reason

        self.assertEqual("key-reused", run_async(main()))

    def test_an_unknown_outcome_is_not_reported_as_not_run(self):
        async def main():
            async with running_cell() as cell:
                cell.ctx.replica.failing = ProposeErrorKind.UNKNOWN
                return (await cell.submit(submission())).refusal.reason

        self.assertEqual("outcome-unknown", run_async(main()))

    def test_a_new_team_can_submit_once_its_record_is_in_force(self):
        async def main():
            async with running_cell() as cell:
                give_records(cell.ctx.machine, team="newcomer")
                newcomer = submission()
                newcomer.team = "newcomer"
                return (await cell.submit(newcomer)).view.state

        self.assertEqual("finished", run_async(main()))


class CancelTests(testtools.TestCase):
    def test_a_running_request_is_stopped_and_reports_its_stage(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission(wait_ms=0))
                await until(lambda: workers.starts)
                return (await cell.cancel(pb.CancelRequest(request_id="z.1"))).view

        view = run_async(main())
        self.assertEqual(("cancelled", "running", "ran"), (view.state, view.stage, view.run))

    def test_a_waiting_request_is_cancelled_without_a_start(self):
        workers = FakeWorkers()

        async def main():
            async with running_cell(workers, names=("w1",)) as cell:
                workers.finish_at_once = False
                for number in range(9):
                    request_id = f"z.{number}"
                    await cell.submit(submission(wait_ms=0, request_id=request_id))
                return (await cell.cancel(pb.CancelRequest(request_id="z.8"))).view

        view = run_async(main())
        self.assertEqual(("cancelled", "accepted", "not-run"), (view.state, view.stage, view.run))
        self.assertNotIn(("z.8", 0), workers.starts)

    def test_cancelling_again_gives_the_same_answer(self):
        async def main():
            async with running_cell() as cell:
                await cell.submit(submission())
                cancel = pb.CancelRequest(request_id="z.1")
                return (await cell.cancel(cancel)).view, (await cell.cancel(cancel)).view

        first, again = run_async(main())
        self.assertEqual("finished", first.state)
        self.assertEqual(first, again)


class LeaderChangeTests(testtools.TestCase):
    def test_the_next_leader_resumes_an_attempt_without_a_second_start(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission("once", key="k", wait_ms=0))
                await until(lambda: workers.starts)
                machine = cell.ctx.machine
            async with running_cell(workers, names=(), machine=machine) as cell:
                workers.finish("z.1.1.0")
                return (
                    await cell.get_request(pb.LookRequest(request_id="z.1", wait_ms=2_000))
                ).view

        self.assertEqual("finished", run_async(main()).state)
        self.assertEqual({("z.1", 0): 1}, workers.starts)

    def test_a_placement_that_was_never_sent_is_started_by_the_next_leader(self):
        workers = FakeWorkers()
        workers.silent.add("w1")
        workers.silent.add("w2")

        async def main():
            async with running_cell(workers) as cell:
                cell.ctx.workers = FakeWorkers()
                cell.ctx.workers.finish_at_once = False
                await cell.submit(submission("once", key="k", wait_ms=0))
                machine = cell.ctx.machine
            workers.silent.clear()
            async with running_cell(workers, names=(), machine=machine) as cell:
                return (
                    await cell.get_request(pb.LookRequest(request_id="z.1", wait_ms=2_000))
                ).view

        self.assertEqual("finished", run_async(main()).state)
        self.assertEqual({("z.1", 0): 1}, workers.starts)

    def test_calls_that_wait_at_a_deposed_leader_are_refused_at_once(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission(wait_ms=0))
                await until(lambda: workers.starts)
                query = pb.LookRequest(request_id="z.1", wait_ms=60_000)
                held = asyncio.create_task(cell.get_request(query))
                await asyncio.sleep(0)
                workers.control = lambda *call: asyncio.sleep(60)
                cancel = asyncio.create_task(cell.cancel(pb.CancelRequest(request_id="z.1")))
                await until(lambda: cell.ctx.machine.ledger.get("z.1").cancelling)
                cell.ctx.replica.is_leader = False
                async with asyncio.timeout(3):
                    return [(await reply).refusal.reason for reply in (held, cancel)]

        self.assertEqual(["not-leader", "not-leader"], run_async(main()))

    def test_a_deposed_leader_refuses_with_the_name_of_the_leader(self):
        async def main():
            async with running_cell() as cell:
                cell.ctx.replica.is_leader = False
                cell.ctx.replica.leader = "h2"
                return (await cell.submit(submission())).refusal

        refusal = run_async(main())
        self.assertEqual(("not-leader", "h2"), (refusal.reason, refusal.leader))

    def test_a_command_with_unknown_outcome_is_resumed_from_the_log(self):
        """The accept command is applied although its proposer sees an unknown outcome."""
        workers = FakeWorkers()

        async def main():
            async with running_cell(workers) as cell:
                cell.ctx.replica.lose_outcomes = True
                refused = (await cell.submit(submission("once", key="k"))).refusal.reason
                cell.ctx.replica.lose_outcomes = False
                async with asyncio.timeout(5):
                    while not cell.ctx.machine.ledger.get("z.1").ended:
                        await asyncio.sleep(0.01)
                return refused, cell.ctx.machine.ledger.get("z.1").state

        self.assertEqual(("outcome-unknown", "finished"), run_async(main()))
        self.assertEqual({("z.1", 0): 1}, workers.starts)

    def test_a_finish_with_unknown_outcome_is_resumed_from_the_log(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission("once", key="k", wait_ms=0))
                await until(lambda: workers.starts)
                cell.ctx.replica.failing = ProposeErrorKind.UNKNOWN
                workers.finish("z.1.1.0")
                await until(lambda: not cell.leader.active)
                cell.ctx.replica.failing = None
                query = pb.LookRequest(request_id="z.1", wait_ms=2_000)
                await until(lambda: cell.leader.active and not cell.ctx.proposer.outcome_uncertain)
                return (await cell.get_request(query)).view.state

        self.assertEqual("finished", run_async(main()))


class WorkerTests(testtools.TestCase):
    def test_a_leaving_worker_gets_no_new_attempt(self):
        async def main():
            async with running_cell(names=("w1",)) as cell:
                await cell.announce(announcement("w1", state="leaving"))
                return (await cell.submit(submission(wait_ms=30))).view.state

        self.assertEqual("accepted", run_async(main()))

    def test_an_idempotent_request_on_a_lost_worker_runs_elsewhere(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers, names=("w1",)) as cell:
                await cell.submit(submission(wait_ms=0))
                await until(lambda: workers.starts)
                await cell.announce(announcement("w2"))
                workers.finish_at_once = True
                await cell.announce(announcement("w1", incarnation="i2", state="leaving"))
                return (
                    await cell.get_request(pb.LookRequest(request_id="z.1", wait_ms=2_000))
                ).view

        view = run_async(main())
        self.assertEqual(("finished", 2), (view.state, view.attempt))

    def test_a_non_idempotent_request_on_a_lost_worker_is_not_run_again(self):
        workers = FakeWorkers()
        workers.finish_at_once = False

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission("once", key="k", wait_ms=0))
                await until(lambda: workers.starts)
                for name in ("w1", "w2"):
                    workers.silent.add(name)
                    await cell.announce(announcement(name, incarnation="i2"))
                return (
                    await cell.get_request(pb.LookRequest(request_id="z.1", wait_ms=2_000))
                ).view

        view = run_async(main())
        self.assertEqual("failed", view.state)
        self.assertNotEqual("not-run", view.run)
        self.assertEqual([1], list(workers.starts.values()))

    def test_heartbeats_are_less_frequent_with_many_workers(self):
        async def main():
            async with running_cell() as cell:
                few = (await cell.announce(announcement("w1"))).heartbeat_ms
                for number in range(102):
                    reply = await cell.announce(announcement(f"x{number}"))
                return few, reply.heartbeat_ms, cell.leader.worker_monitor.silence_timeout_ms()

        few, many, silence = run_async(main())
        self.assertEqual((2_000, 20_800), (few, many))
        self.assertGreater(silence, 2 * many)

    def test_stale_leases_are_stopped_or_released(self):
        async def main():
            async with running_cell() as cell:
                await cell.submit(submission())
                reports = [
                    pb.LeaseReport(lease="z.1.1.0", state="finished"),
                    pb.LeaseReport(lease="z.9.1.0", state="running"),
                ]
                return await cell.announce(announcement("w1", leases=reports))

        reply = run_async(main())
        self.assertEqual((["z.1.1.0"], ["z.9.1.0"]), (list(reply.release), list(reply.stop)))

    def test_a_refused_gang_starts_no_member_and_is_retried(self):
        workers = FakeWorkers()
        workers.refusing["w2"] = "no-capacity"

        async def main():
            async with running_cell(workers) as cell:
                await cell.submit(submission("gang", wait_ms=50))
                started_while_refused = dict(workers.starts)
                workers.refusing.clear()
                query = pb.LookRequest(request_id="z.1", wait_ms=3_000)
                return started_while_refused, (await cell.get_request(query)).view

        started, view = run_async(main())
        self.assertEqual(({}, "finished", 3), (started, view.state, len(view.answers)))
