import asyncio
import time

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import TAKEOVER_WAIT_MS, TICK_MS, Leader
from agateferry_jobs.cell.plan_loop import PLAN_PAUSE_FACTOR
from agateferry_jobs.ledger import JobState, Ledger, WorkerState, commands
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES, job_command
from agateferry_jobs.workers.tracked_run import NO_PROGRESS_TIMEOUT_MS
from agateferry_state.replica.protocols import ProposeErrorKind

WHOLE_WORKER = Resources(cpu=1000, mem_mb=100, gpu=8)
JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
ID = "5c0e7a21d94b36f8"


def target(path=ID, key="key", host="host"):
    return messages.CallTarget(host, f"/jobs/{path}", key)


class SlowWorker(ModelWorker):
    """A worker whose answers to polls take `poll_delay_s` longer."""

    poll_delay_s = 0.0

    async def poll(self, order, timeout_ms):
        await asyncio.sleep(self.poll_delay_s)
        return await super().poll(order, timeout_ms)


class LeaderCase(testtools.TestCase):
    def check(self, scenario, lease_ms=8000, **options):
        async def main():
            self.clock = SystemClock()
            self.ports = {}
            self.ledger = Ledger()
            self.replica = MemoryReplica(self.ledger)
            self.leader = Leader(
                self.replica, self.ledger, self.clock, self.port_to, lease_ms, **options
            )
            self.replica.lead()
            await self.call(messages.InstallManifest(manifest()))
            try:
                await scenario()
            finally:
                await self.leader.close()

        run_async(main())

    def port_to(self, incarnation):
        known = self.ports.get(incarnation.id)
        if known is None or known.born != incarnation.born:
            known = self.ports[incarnation.id] = ModelWorker(self.clock, incarnation.born)
        return known

    async def call(self, call):
        return await self.leader.handle(call)

    async def heartbeat(self, incarnation, sequence=1):
        return await self.call(messages.Heartbeat(incarnation, sequence))

    async def until(self, condition, what):
        for _ in range(600):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"did not happen in time: {what}")

    async def running_on(self, id, count=1):
        await self.until(lambda: len(self.ports[id].running) == count, f"{count} runs on {id}")

    async def state(self):
        return (await self.call(messages.GetStatus(target()))).state


class CallTests(LeaderCase):
    def test_a_job_runs_until_it_completes(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), JOB)))
            await self.running_on("w1")
            self.assertEqual(JobState.RUNNING, await self.state())
            self.ports["w1"].end((ID, "0.0.0"), "done")
            await self.until(lambda: self.ledger.jobs[ID].is_completed, "completed")
            self.assertEqual(JobState.COMPLETED, await self.state())
            self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), JOB)))

        self.check(scenario)

    def test_calls_are_checked_against_the_manifest_in_force(self):
        async def scenario():
            self.assertEqual(
                messages.UnknownQueue(), await self.call(messages.GetStatus(target(host="other")))
            )
            self.assertEqual(
                messages.InvalidApiKey(), await self.call(messages.GetStatus(target(key="old")))
            )
            self.assertEqual(messages.UnknownJob(), await self.call(messages.GetStatus(target())))
            self.assertEqual(messages.UnknownJob(), await self.call(messages.Cancel(target())))
            self.assertIsInstance(
                await self.call(messages.Submit(target(), None, "flaw")), messages.Invalid
            )

        self.check(scenario)

    def test_queue_depth_counts_jobs_that_have_not_started(self):
        async def scenario():
            await self.call(messages.Submit(target(), JOB))
            self.assertEqual(
                messages.QueueDepth(1), await self.call(messages.GetStatus(target("")))
            )
            await self.heartbeat(worker("w1"))
            await self.running_on("w1")
            self.assertEqual(
                messages.QueueDepth(0), await self.call(messages.GetStatus(target("")))
            )

        self.check(scenario)

    def test_a_host_that_does_not_lead_names_the_leader(self):
        async def scenario():
            self.replica.is_leader = False
            self.replica.leader = "there"
            self.assertEqual(
                messages.NotLeader("there"), await self.call(messages.GetStatus(target()))
            )
            self.replica.is_leader = True

        self.check(scenario)

    def test_an_uncertain_submission_gets_outcome_unknown_and_can_be_repeated(self):
        async def scenario():
            self.replica.error_for = lambda _: ProposeErrorKind.UNKNOWN
            self.assertIsInstance(
                await self.call(messages.Submit(target(), JOB)), messages.OutcomeUnknown
            )
            self.replica.error_for = lambda _: None
            self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), JOB)))

        self.check(scenario)


class TakeoverTests(LeaderCase):
    """A new leader plans for an urgent job; what ended meanwhile is listed by the workers only."""

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    async def run_on_two_workers(self):
        """Start a run that takes all of w2, and then one on w1, which has less work to lose."""
        self.ports["w2"] = SlowWorker(self.clock)
        for id in ("w2", "w1"):
            await self.heartbeat(worker(id))
            self.apply(job_command(f"on-{id}", StepSpec(1, WHOLE_WORKER), priority=2))
            self.leader.request_planning()
            await self.running_on(id)
            await asyncio.sleep(0.1)

    async def take_over(self):
        """Lead again in a new term, with an urgent job that needs a whole worker."""
        self.replica.lead(False)
        await asyncio.sleep(0.05)
        self.ports["w2"].end(("on-w2", "0.0.0"), "done")
        self.apply(job_command("urgent", StepSpec(1, WHOLE_WORKER), priority=0))
        self.replica.lead()

    def test_nothing_is_preempted_for_what_a_worker_that_answers_later_has_free(self):
        """The first plan was once made when the first worker answered, and stopped its runs."""

        async def scenario():
            await self.run_on_two_workers()
            self.ports["w2"].poll_delay_s = 0.1
            await self.take_over()
            await self.until(lambda: ("urgent", "0.0.0") in self.ports["w2"].running, "on w2")
            self.assertEqual({("on-w1", "0.0.0"): 1}, self.ports["w1"].running)

        self.check(scenario)

    def test_nothing_is_preempted_while_an_end_that_a_worker_listed_is_committed(self):
        """A worker once counted as full until the commit of the ends in its first answer."""

        async def scenario():
            await self.run_on_two_workers()
            propose = self.replica.propose

            async def propose_slowly(command):
                await asyncio.sleep(0.1)
                return await propose(command)

            self.replica.propose = propose_slowly
            await self.take_over()
            await self.until(lambda: ("urgent", "0.0.0") in self.ports["w2"].running, "on w2")
            self.assertEqual({("on-w1", "0.0.0"): 1}, self.ports["w1"].running)

        self.check(scenario)

    def test_a_worker_that_does_not_answer_delays_the_first_plan_for_a_limited_time(self):
        async def scenario():
            await self.run_on_two_workers()
            self.ports["w2"].poll_delay_s = 60
            await self.take_over()
            began_ms = self.clock.now_ms()
            await self.until(lambda: ("urgent", "0.0.0") in self.ports["w1"].running, "on w1")
            self.assertLess(self.clock.now_ms() - began_ms, 2 * TAKEOVER_WAIT_MS + TICK_MS)

        self.check(scenario)


class RunTests(LeaderCase):
    def test_no_start_order_is_sent_before_its_command_is_committed(self):
        async def scenario():
            is_start = lambda data: isinstance(  # noqa: E731
                commands.decode(data), commands.StartRuns
            )
            self.replica.error_for = lambda data: (
                ProposeErrorKind.NOT_LEADER if is_start(data) else None
            )
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await asyncio.sleep(0.5)
            self.assertEqual([], self.ports["w1"].starts)
            self.replica.error_for = lambda _: None
            await self.running_on("w1")

        self.check(scenario)

    def test_a_start_whose_commit_is_uncertain_still_runs(self):
        async def scenario():
            is_start = lambda data: isinstance(  # noqa: E731
                commands.decode(data), commands.StartRuns
            )
            self.replica.error_for = lambda data: (
                ProposeErrorKind.UNKNOWN if is_start(data) else None
            )
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await self.until(lambda: self.ledger.jobs[ID].has_started, "start committed")
            self.replica.error_for = lambda _: None
            await self.running_on("w1")

        self.check(scenario)

    def test_a_cancelled_job_is_stopped(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await self.running_on("w1")
            await self.call(messages.Cancel(target()))
            await self.running_on("w1", 0)
            self.assertEqual(JobState.CANCELLED, await self.state())

        self.check(scenario)

    def test_a_new_leader_adopts_active_runs(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await self.running_on("w1")
            self.replica.lead(False)
            self.replica.lead()
            self.ports["w1"].end((ID, "0.0.0"), "done")
            await self.until(lambda: self.ledger.jobs[ID].is_completed, "completed")
            self.assertEqual(1, len(self.ports["w1"].starts))

        self.check(scenario)


class WorkerTests(LeaderCase):
    def test_a_draining_worker_gets_no_runs_once_draining_is_acknowledged(self):
        async def scenario():
            await self.heartbeat(worker("w1", state=WorkerState.DRAINING))
            await self.call(messages.Submit(target(), JOB))
            await asyncio.sleep(0.4)
            self.assertEqual([], self.ports["w1"].starts)

        self.check(scenario)

    def test_runs_of_an_ended_incarnation_are_placed_elsewhere_at_once(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await self.running_on("w1")
            await self.heartbeat(worker("w2"))
            await self.heartbeat(worker("w1", born=2, state=WorkerState.DRAINING))
            await self.running_on("w2")

        self.check(scenario)

    def test_runs_of_a_silent_worker_are_placed_elsewhere_only_after_its_lease(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.call(messages.Submit(target(), JOB))
            await self.running_on("w1")
            silent = self.ports["w1"]
            silent.is_unreachable = True
            await self.heartbeat(worker("w2"))
            await self.running_on("w2")
            self.assertGreaterEqual(self.clock.now_ms(), silent.deadline_ms)

        self.check(scenario, lease_ms=1500)


class GangTests(LeaderCase):
    def test_started_members_of_an_incomplete_gang_are_stopped_at_once(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.heartbeat(worker("w2"))
            step = StepSpec(2, WHOLE_WORKER, is_gang=True)
            await self.until(lambda: len(self.ports) == 2, "sessions")
            self.ports["w2"].is_full = True
            await self.call(messages.Submit(target(), JobSpec("payload", (step,))))
            await self.until(lambda: self.ports["w1"].starts, "one member")
            async with asyncio.timeout(NO_PROGRESS_TIMEOUT_MS / 2 / 1000):
                await self.running_on("w1", 0)
            self.assertEqual("stopped", self.ports["w1"].first_outcome)

        self.check(scenario)


class PlanningPaceTests(LeaderCase):
    def test_frequent_changes_share_plans(self):
        """With 176 workers, a plan for each change took all of the leader's processor time, so that
        stop orders for cancelled jobs were sent seconds late."""
        plan_s, span_s = 0.02, 0.6
        plans = []

        async def scenario():
            make_plan = self.leader._make_plan

            def slow_plan(limits):
                plans.append(self.clock.now_ms())
                time.sleep(plan_s)
                return make_plan(limits)

            self.leader._make_plan = slow_plan
            end_ms = self.clock.now_ms() + span_s * 1000
            while self.clock.now_ms() < end_ms:
                self.leader.request_planning()
                await asyncio.sleep(0.002)

        self.check(scenario)
        self.assertTrue(
            3 <= len(plans) <= span_s / (plan_s * (1 + PLAN_PAUSE_FACTOR)) + 2, len(plans)
        )
