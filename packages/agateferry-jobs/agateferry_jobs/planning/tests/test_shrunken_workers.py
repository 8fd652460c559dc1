from agateferry_jobs.ledger import Run, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning.tests.test_planner import WHOLE_WORKER, PlannerCase
from agateferry_jobs.support import job_command, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

SHRUNK = Resources(cpu=2000, mem_mb=200, gpu=2)
ONLY_GPU = Resources(gpu=1)


class ShrunkenWorkerTests(PlannerCase):
    """A worker's capacity may shrink below what runs there, and grow again."""

    def resize(self, id, capacity, rack="r1"):
        incarnation = worker(id, rack)
        incarnation.capacity = capacity
        self.add(incarnation)

    def start(self, job, on, step):
        self.apply(job_command(job, step, priority=2))
        starts = tuple(commands.RunStart(job, f"0.0.{n}", Run(1, on, 1)) for n in range(step.count))
        self.apply(commands.StartRuns(starts))

    def test_nothing_starts_where_less_is_left_than_runs(self):
        self.add(worker("w1"))
        self.start("old", "w1", StepSpec(4, SUBTASK_RESOURCES))
        self.resize("w1", SHRUNK)
        self.apply(job_command("small", StepSpec(1, ONLY_GPU)))
        self.apply(job_command("gang", StepSpec(1, ONLY_GPU, is_gang=True)))
        self.assertEqual({}, self.placed())

    def test_a_gang_needs_no_resource_that_is_overdrawn(self):
        """Such a gang would have started where more memory was in use than is left."""
        self.add(worker("w1"))
        self.start("old", "w1", StepSpec(1, Resources(cpu=1000, mem_mb=5_000, gpu=1)))
        self.resize("w1", Resources(cpu=16_000, mem_mb=1_000, gpu=8))
        self.apply(job_command("gang", StepSpec(2, ONLY_GPU, is_gang=True)))
        self.assertEqual({}, self.placed())

    def test_what_is_being_stopped_still_counts(self):
        self.add(worker("w1"))
        self.start("old", "w1", StepSpec(2, SUBTASK_RESOURCES))
        self.apply(commands.CancelJob("old", 0))
        self.resize("w1", SHRUNK)
        self.apply(job_command("new"))
        self.assertEqual({}, self.placed())

    def test_urgent_work_counts_on_what_is_left_only(self):
        self.add(worker("w1"))
        self.start("old", "w1", StepSpec(2, SUBTASK_RESOURCES))
        self.resize("w1", SHRUNK)
        self.apply(job_command("urgent", StepSpec(1, WHOLE_WORKER), priority=0))
        self.assertEqual([], self.plan().stops)
        self.apply(job_command("small", priority=0))
        self.assertEqual(1, len(self.plan().stops))

    def test_it_gets_work_again_once_it_has_grown(self):
        self.add(worker("w1"))
        self.resize("w1", SHRUNK)
        self.apply(job_command("large", StepSpec(1, WHOLE_WORKER)))
        self.assertEqual({}, self.placed())
        self.resize("w1", worker("w1").capacity)
        self.assertEqual({("large", "0.0.0"): "w1"}, self.placed())

    def test_a_gang_waits_for_its_rack_while_the_rack_is_small_for_a_while(self):
        """It started across racks, which takes three times as long."""
        self.add(worker("a1", "near"), worker("a2", "near"), worker("b1", "far"))
        self.resize("a1", SHRUNK, "near")
        gang = StepSpec(2, WHOLE_WORKER, estimated_ms=2_500, is_gang=True, same_rack=True)
        self.apply(job_command("gang", gang))
        self.assertEqual({}, self.placed())
        self.add(worker("a1", "near"))
        self.assertEqual({"a1", "a2"}, set(self.placed().values()))

    def test_a_subtask_waits_for_its_data_rack_while_that_is_small_for_a_while(self):
        self.add(worker("a1", "near"), worker("b1", "far"))
        self.resize("a1", SHRUNK, "near")
        step = StepSpec(1, WHOLE_WORKER, estimated_ms=2_500, data_rack="near")
        self.apply(job_command("j", step))
        self.assertEqual({}, self.placed())

    def test_a_new_incarnation_starts_from_its_own_capacity(self):
        self.add(worker("a1", "near"), worker("b1", "far"))
        reborn = worker("a1", "near", born=2)
        reborn.capacity = SHRUNK
        self.add(reborn)
        step = StepSpec(1, WHOLE_WORKER, estimated_ms=2_500, data_rack="near")
        self.apply(job_command("j", step))
        self.assertEqual({("j", "0.0.0"): "b1"}, self.placed())
