from agateferry_jobs.ledger import WorkerState, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet
from agateferry_jobs.planning.free_capacity import FreeCapacity, share_in_use
from agateferry_jobs.planning.tests.test_planner import PlannerCase
from agateferry_jobs.support import job_command, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY


class FreeCapacityCase(PlannerCase):
    def fleet(self):
        return Fleet.from_ledger(self.ledger, self.health, self.stopping)

    def occupy(self, job, subtasks, need=WORKER_CAPACITY):
        self.apply(job_command(job, StepSpec(subtasks, need)))
        self.placed()


class ShareInUseTests(FreeCapacityCase):
    def share(self):
        return share_in_use(self.fleet().by_service["pool"])

    def test_runs_hold_a_share_of_the_workers_that_answer(self):
        """Guards against a share that leaves out runs, or counts them against other capacity."""
        self.add(worker("w1"), worker("w2"))
        self.occupy("j", 1)
        self.assertEqual(0.5, self.share())

    def test_silent_workers_count_up_to_a_quarter_of_the_others(self):
        """The platform counts workers that are cut off; many silent ones are down, however."""
        self.add(worker("w1"), worker("w2"))
        self.occupy("j", 1)
        self.add(*(worker(f"silent-{number}") for number in range(3)), answers=False)
        self.assertEqual(0.4, self.share())

    def test_a_service_without_workers_has_nothing_free(self):
        """Guards against a division by zero, which would stop all plans."""
        self.assertEqual(1.0, self.share())


class FreeCapacityTests(FreeCapacityCase):
    def setUp(self):
        super().setUp()
        self.capacity = FreeCapacity()

    def is_mostly_free(self):
        self.capacity.observe(self.fleet())
        return self.capacity.is_mostly_free("pool")

    def test_a_share_that_flickers_around_the_limit_changes_nothing(self):
        """Each run that started or ended would begin the idle time of all jobs anew."""
        self.add(*(worker(f"w{number}") for number in range(20)))
        self.occupy("j", 9)
        self.assertTrue(self.is_mostly_free())
        self.occupy("k", 2)
        self.assertTrue(self.is_mostly_free())
        self.occupy("l", 1)
        self.assertFalse(self.is_mostly_free())
        self.apply(commands.CancelJob("l", 0))
        run = commands.Run(1, self.ledger.jobs["l"].subtasks["0.0.0"].active.worker, 1)
        end = commands.RunEnded("l", "0.0.0", run, commands.RunOutcome.STOPPED)
        self.apply(commands.EndRuns((end,), 0))
        self.assertFalse(self.is_mostly_free())

    def test_draining_workers_count_where_they_make_the_share_smaller(self):
        """The platform may count them; with them a third of the capacity is in use here."""
        self.add(worker("w1"), worker("w2"))
        self.occupy("j", 1, Resources(cpu=16_000, mem_mb=100, gpu=8))
        self.assertFalse(self.is_mostly_free())
        self.add(worker("draining", state=WorkerState.DRAINING))
        self.assertTrue(self.is_mostly_free())
