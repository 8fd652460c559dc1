import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning.timing import Lateness, Timing
from agateferry_jobs.support import job_command, manifest, start_of
from agateferry_jobs.support.builders import SUBTASK_RESOURCES


class TimingCase(testtools.TestCase):
    """The queue of the manifest has a stretch of 3 and a target of 1000 ms."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.timing = Timing(self.ledger)
        self.apply(commands.PutManifest(manifest(stretch=3.0, target_ms=1000)))

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    def job_of(self, *steps, id="j", **schedule):
        self.apply(job_command(id, *steps, **schedule))
        return self.ledger.jobs[id]

    def finish(self, id, took_ms):
        """Start the first subtask of a job and end it as done after `took_ms`."""
        start = start_of(id, "0.0.0")
        self.apply(commands.StartRuns((start,), 0))
        self.apply(
            commands.EndRuns(
                (commands.RunEnded(id, "0.0.0", start.run, commands.RunOutcome.DONE),), took_ms
            )
        )


class SlackTests(TimingCase):
    def test_the_critical_path_is_the_longest_chain_of_dependent_steps(self):
        steps = (
            StepSpec(1, SUBTASK_RESOURCES, estimated_ms=100),
            StepSpec(1, SUBTASK_RESOURCES, estimated_ms=500),
            StepSpec(1, SUBTASK_RESOURCES, estimated_ms=30, depends_on=(0,)),
        )
        self.assertEqual(500, self.timing.critical_path_ms(self.job_of(*steps)))

    def test_slack_is_the_objective_less_the_work(self):
        job = self.job_of(StepSpec(1, SUBTASK_RESOURCES, estimated_ms=2000))
        self.assertEqual(5000, self.timing.slack_ms(job))
        self.assertEqual(0, Timing(Ledger()).slack_ms(job))

    def test_a_job_is_in_time_then_late_then_hopeless(self):
        job = self.job_of(StepSpec(1, SUBTASK_RESOURCES, estimated_ms=2000))
        for waited, expected in (
            (5000, Lateness.IN_TIME),
            (5001, Lateness.LATE),
            (19_000, Lateness.LATE),
            (19_001, Lateness.HOPELESS),
        ):
            self.assertEqual(expected, self.timing.lateness(job, waited))

    def test_slack_follows_the_measured_durations_of_the_queue(self):
        """Gangs that declared a quarter of their duration counted as late after a few seconds, were
        planned behind all other jobs and never started under heavy load."""
        for number, declared_ms in enumerate((1000, 3000, 14_000, 800, 2500)):
            id = f"done{number}"
            self.job_of(StepSpec(1, SUBTASK_RESOURCES, estimated_ms=declared_ms), id=id)
            self.finish(id, 8000)
        job = self.job_of(StepSpec(1, SUBTASK_RESOURCES, estimated_ms=2000))
        self.assertTrue(
            7000 < self.timing.expected_duration_ms(job, 0) < 8000,
            self.timing.expected_duration_ms(job, 0),
        )
        self.assertIs(Lateness.IN_TIME, self.timing.lateness(job, 12_000))


class WaitTests(TimingCase):
    def test_the_duration_of_done_steps_is_no_wait(self):
        first = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=1000)
        job = self.job_of(first, StepSpec(1, SUBTASK_RESOURCES, estimated_ms=1000, depends_on=(0,)))
        self.assertEqual(1500, self.timing.waited_ms(job, 0, 1500))
        self.finish("j", 1000)
        self.assertEqual(500, Timing(self.ledger).waited_ms(job, 0, 1500))

    def test_an_occurrence_waits_from_its_due_time(self):
        job = self.job_of(start_at_ms=1000, interval_ms=500, repeat_count=2)
        self.assertEqual(
            (0, 600),
            (
                self.ledger.progress_of(job).first_unfinished_occurrence(),
                self.timing.waited_ms(job, 0, 1600),
            ),
        )
        self.finish("j", 1000)
        self.assertEqual(
            (1, 100),
            (
                self.ledger.progress_of(job).first_unfinished_occurrence(),
                self.timing.waited_ms(job, 1, 1600),
            ),
        )
