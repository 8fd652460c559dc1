"""A job has begun once a worker has a run of it, not once its start is committed.

Accepted jobs whose starts were rejected were left out of `pending`, and shown as running.
"""

import asyncio

import msgspec
import testtools

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.ledger import JobState, Ledger, commands
from agateferry_jobs.ledger.commands import LossCause, RunOutcome
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support import job_command, start_of, worker
from agateferry_jobs.workers.port import NoAnswer, Rejected
from agateferry_state.replica.protocols import ProposeErrorKind

KEY = (ID, "0.0.0")
HALF_WORKER = Resources(cpu=1000, mem_mb=100, gpu=4)


def says_begun(command):
    """Return whether a command of the log says which jobs have begun."""
    decoded = commands.decode(command)
    return isinstance(decoded, commands.EndRuns) and decoded.begun is not msgspec.UNSET


class EarlierEndRuns(msgspec.Struct, tag="end"):
    """The command as earlier versions know it."""

    ends: tuple[commands.RunEnded, ...]
    at_ms: int


class BegunJobCase(LeaderCase):
    async def pending(self):
        return (await self.call(messages.GetStatus(target("")))).waiting

    async def assert_waits(self):
        self.assertEqual((1, JobState.QUEUED), (await self.pending(), await self.state()))

    async def until_running(self):
        await self.until(lambda: self.ledger.jobs[ID].has_begun, "begun, as committed")
        self.assertEqual((0, JobState.RUNNING), (await self.pending(), await self.state()))

    async def until_shown_running(self):
        for _ in range(300):
            if await self.state() is JobState.RUNNING:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("not shown as running")

    async def submit(self, job=JOB):
        self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), job)))

    async def until_committed(self):
        await self.until(lambda: self.ledger.jobs[ID].has_started, "start committed")


class NotBegunTests(BegunJobCase):
    """Each of these showed a job as running that no worker had begun."""

    def test_a_start_that_its_worker_rejects(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.ports["w1"].is_full = True
            await self.submit()
            await self.until_committed()
            for _ in range(20):
                await self.assert_waits()
                await asyncio.sleep(0.05)
            self.ports["w1"].is_full = False
            await self.until_running()

        self.check(scenario)

    def test_a_start_that_its_worker_leaves_unanswered_while_its_lease_runs(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await asyncio.sleep(0.1)
            port = self.ports["w1"]

            async def unanswered(order, timeout_ms):
                port.is_unreachable = True
                return NoAnswer("cut")

            port.start = unanswered
            await self.submit()
            await self.until_committed()
            for _ in range(10):
                await self.assert_waits()
                await asyncio.sleep(0.05)

        self.check(scenario)

    def test_a_leader_that_ends_between_the_commit_and_the_order(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await asyncio.sleep(0.1)

            def lose(command):
                is_start = isinstance(commands.decode(command), commands.StartRuns)
                return ProposeErrorKind.UNKNOWN if is_start else None

            self.replica.error_for = lose
            await self.submit()
            await self.until_committed()
            self.replica.lead(False)
            self.assertEqual([], self.ports["w1"].starts)
            self.ports["w1"].is_unreachable = True
            self.replica.lead(True)
            await asyncio.sleep(0.5)
            await self.assert_waits()

        self.check(scenario)

    def test_a_run_that_is_stopped_before_it_begins(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await asyncio.sleep(0.1)
            self.ports["w1"].orders_to_lose = 1_000
            await self.submit()
            await self.until_committed()
            self.leader._sessions.stop_run(KEY, self.ledger.jobs[ID].subtasks["0.0.0"].active)
            await asyncio.sleep(1)
            await self.assert_waits()

        self.check(scenario)

    def test_a_gang_whose_members_are_all_rejected(self):
        async def scenario():
            for id in ("w1", "w2"):
                await self.heartbeat(worker(id))
                self.ports[id].is_full = True
            await self.submit(JobSpec("p", (StepSpec(4, HALF_WORKER, is_gang=True),)))
            await self.until_committed()
            await asyncio.sleep(0.5)
            await self.assert_waits()

        self.check(scenario)


class BegunTests(BegunJobCase):
    """Guards against jobs that have begun and count as pending again."""

    def test_a_gang_of_which_one_member_began(self):
        async def scenario():
            for id in ("w1", "w2"):
                await self.heartbeat(worker(id))
            await asyncio.sleep(0.1)

            async def reject(order, timeout_ms):
                return Rejected("room", 1)

            self.ports["w2"].start = reject
            await self.submit(JobSpec("p", (StepSpec(4, HALF_WORKER, is_gang=True),)))
            await self.until_running()

        self.check(scenario)

    def test_a_late_order_that_is_carried_out(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await asyncio.sleep(0.1)
            self.ports["w1"].orders_to_lose = 1
            await self.submit()
            await self.until_running()

        self.check(scenario)

    def test_a_run_that_is_lost_with_its_worker_through_restarts_and_leaders(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.submit()
            await self.until_running()
            self.ports["w1"].is_unreachable = True
            await self.until(
                lambda: self.ledger.jobs[ID].subtasks["0.0.0"].active is None, "the run is lost"
            )
            self.assertEqual(0, await self.pending())
            self.replica.lead(False)
            self.ledger.restore(self.ledger.snapshot())
            self.replica.lead(True)
            self.assertEqual((0, JobState.RUNNING), (await self.pending(), await self.state()))

        self.check(scenario, lease_ms=500)

    def test_a_new_leader_learns_it_of_runs_that_it_adopts(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.replica.error_for = lambda command: (
                ProposeErrorKind.NOT_LEADER if says_begun(command) else None
            )
            await self.submit()
            await self.until_shown_running()
            await asyncio.sleep(0.4)
            self.assertFalse(self.ledger.jobs[ID].has_begun)
            self.replica.lead(False)
            self.replica.error_for = lambda _: None
            self.replica.lead(True)
            await self.until_running()

        self.check(scenario)

    def test_a_commit_that_fails_is_repeated(self):
        async def scenario():
            failures = []

            def fail_once(command):
                if says_begun(command) and not failures:
                    failures.append(command)
                    return ProposeErrorKind.NOT_LEADER
                return None

            self.replica.error_for = fail_once
            await self.heartbeat(worker("w1"))
            await self.submit()
            await self.until_running()
            self.assertEqual(1, len(failures))

        self.check(scenario)


class StoredJobTests(testtools.TestCase):
    """Snapshots and logs of earlier versions don't say which jobs have begun."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.apply(job_command("j"))

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    def end(self, outcome, **loss):
        run = start_of("j", "0.0.0").run
        self.apply(commands.EndRuns((commands.RunEnded("j", "0.0.0", run, outcome, **loss),), 1))

    def restore_without_the_field(self):
        state = msgspec.msgpack.decode(self.ledger.snapshot())
        del state["jobs"]["j"]["begun"]
        self.ledger.restore(msgspec.msgpack.encode(state))

    def test_a_snapshot_without_the_field_tells_by_the_committed_starts(self):
        self.restore_without_the_field()
        self.assertIs(JobState.QUEUED, self.ledger.jobs["j"].state)
        self.apply(commands.StartRuns((start_of("j", "0.0.0"),)))
        self.assertIs(JobState.RUNNING, self.ledger.jobs["j"].state)

    def test_reported_outcomes_show_that_a_run_had_begun(self):
        for outcome in (RunOutcome.FAILED, RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.ALONE):
            self.ledger = Ledger()
            self.apply(job_command("j"))
            self.apply(commands.StartRuns((start_of("j", "0.0.0"),)))
            self.assertIs(JobState.QUEUED, self.ledger.jobs["j"].state)
            self.end(outcome)
            self.assertTrue(self.ledger.jobs["j"].has_begun, outcome)

    def test_earlier_versions_read_the_command_that_says_it(self):
        """A host of an earlier version ends its replica at a command that it can't read."""
        data = commands.encode(commands.EndRuns((), 5, begun=("j",)))
        self.assertEqual(EarlierEndRuns((), 5), msgspec.msgpack.decode(data, type=EarlierEndRuns))
        self.ledger.apply(1, data)
        self.assertTrue(self.ledger.jobs["j"].has_begun)

    def test_rejected_and_lost_runs_do_not(self):
        for outcome, loss in ((RunOutcome.REFUSED, {}), (RunOutcome.LOST, {"loss": "silent"})):
            self.apply(commands.StartRuns((start_of("j", "0.0.0"),)))
            self.end(outcome, **{key: LossCause(value) for key, value in loss.items()})
            self.assertFalse(self.ledger.jobs["j"].has_begun, outcome)
