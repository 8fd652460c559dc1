from agateferry_jobs.ledger import WorkerState, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth
from agateferry_jobs.planning.free_capacity import FreeCapacity, share_in_use
from agateferry_jobs.planning.idle_jobs import WaitChoice
from agateferry_jobs.planning.tests.test_planner import PlannerCase
from agateferry_jobs.support import job_command, worker

WHOLE_WORKER = Resources(cpu=16_000, mem_mb=100, gpu=8)
"""All cores and accelerators of a worker."""


class FreeCapacityCase(PlannerCase):
    def fleet(self):
        return Fleet.from_ledger(self.ledger, self.health, self.stopping)


class ShareInUseTests(FreeCapacityCase):
    def test_runs_hold_a_share_of_the_workers_that_answer(self):
        self.add(worker("w1"), worker("w2"))
        self.add(worker("draining", state=WorkerState.DRAINING))
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.placed()
        self.assertEqual(0.5, share_in_use(self.fleet(), "pool"))

    def test_silent_workers_count_up_to_a_quarter_of_the_others(self):
        """The platform counts workers that are cut off; many silent ones are down, however."""
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.placed()
        self.add(*(worker(f"silent-{number}") for number in range(3)), answers=False)
        self.assertEqual(0.4, share_in_use(self.fleet(), "pool"))

    def test_a_service_without_workers_has_nothing_free(self):
        self.assertEqual(1.0, share_in_use(self.fleet(), "pool"))


class FreeCapacityTests(FreeCapacityCase):
    def test_it_counts_from_the_moment_when_most_is_free(self):
        self.add(worker("w1"))
        capacity = FreeCapacity()
        self.assertEqual({"pool": 100}, capacity.observe(self.fleet(), 100))
        self.assertEqual({"pool": 100}, capacity.observe(self.fleet(), 200))
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.placed()
        self.assertEqual({}, capacity.observe(self.fleet(), 300))


class IdleTimeTests(FreeCapacityCase):
    """What the log tells of an idle job must match what the platform sees."""

    def setUp(self):
        super().setUp()
        self.add(*(worker(f"w{number}", rack=f"r{number % 2}") for number in range(8)))
        self.health["w0"] = WorkerHealth(answers=False)
        step = StepSpec(4, WHOLE_WORKER, estimated_ms=2500, is_gang=True, same_rack=True)
        self.apply(job_command("j", step, at_ms=1000))

    def idle(self, now_ms, free_since_ms):
        planner = Planner(self.ledger, self.fleet(), now_ms, free_since_ms=free_since_ms)
        return planner.plan().idle.get("j")

    def start_and_end(self, outcome, at_ms):
        names = [f"0.0.{index}" for index in range(4)]
        runs = [commands.Run(1, f"w{number}", 1) for number in (1, 3, 5, 7)]
        pairs = list(zip(names, runs, strict=True))
        starts = tuple(commands.RunStart("j", name, run) for name, run in pairs)
        self.apply(commands.StartRuns(starts, at_ms))
        ends = tuple(commands.RunEnded("j", name, run, outcome) for name, run in pairs)
        self.apply(commands.EndRuns(ends, at_ms))

    def hold_up(self):
        """Put a small run on a worker of the whole rack, so that no rack is free."""
        self.apply(job_command("small", at_ms=0))
        self.apply(
            commands.StartRuns((commands.RunStart("small", "0.0.0", commands.Run(1, "w1", 1)),))
        )

    def test_a_job_is_idle_since_it_was_accepted_and_most_is_free(self):
        self.hold_up()
        self.assertEqual(500, self.idle(1500, {"pool": 0}).idle_ms)
        self.assertEqual(100, self.idle(1500, {"pool": 1400}).idle_ms)
        self.assertIsNone(self.idle(1500, {}))

    def test_it_is_idle_again_since_its_runs_ended(self):
        self.hold_up()
        self.start_and_end(commands.RunOutcome.STOPPED, at_ms=2000)
        self.assertEqual(300, self.idle(2300, {"pool": 0}).idle_ms)

    def test_a_refused_start_does_not_count_as_a_run(self):
        self.hold_up()
        self.start_and_end(commands.RunOutcome.REFUSED, at_ms=2000)
        self.assertEqual(1300, self.idle(2300, {"pool": 0}).idle_ms)

    def test_it_tells_the_room_and_what_holds_the_job_back(self):
        self.hold_up()
        idle = self.idle(1500, {"pool": 0})
        self.assertEqual((6, 4, True), (idle.room, idle.needed, idle.could_run))
        self.assertIn(WaitChoice.RACK, idle.choices)
