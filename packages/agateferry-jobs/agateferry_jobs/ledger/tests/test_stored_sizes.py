import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.job_records import ENDED_JOB_RETENTION_MS
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.ledger.stored_sizes import StoredSizes, new_job_bytes, spec_bytes
from agateferry_jobs.support.builders import SUBTASK_RESOURCES, job_command

STEPS = (StepSpec(5, SUBTASK_RESOURCES), StepSpec(1, SUBTASK_RESOURCES, depends_on=(0,)))


class StoredSizeTests(testtools.TestCase):
    """The sizes that the ledger keeps up to date are those of its records."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.ledger.apply(self.index, commands.encode(command))

    def check(self):
        sizes, anew = self.ledger.stored_sizes, StoredSizes(self.ledger.jobs.values())
        self.assertEqual(anew.total, sizes.total)
        self.assertEqual(anew.of_team("team"), sizes.of_team("team"))

    def test_a_job_has_its_size_from_its_acceptance_until_it_is_dropped(self):
        accepted = job_command("j1", *STEPS)
        self.apply(accepted)
        self.check()
        self.assertEqual(new_job_bytes(accepted.spec), self.ledger.stored_sizes.total)
        self.apply(commands.CancelJob("j1", 10))
        self.check()
        self.assertEqual(spec_bytes(accepted.spec), self.ledger.stored_sizes.total)
        self.apply(job_command("j2", at_ms=20 + ENDED_JOB_RETENTION_MS))
        self.check()
        self.assertEqual({"j2"}, set(self.ledger.jobs))

    def test_sizes_are_those_of_a_snapshot_after_its_restore(self):
        for number in range(3):
            self.apply(job_command(f"j{number}", *STEPS))
        restored = Ledger()
        restored.restore(self.ledger.snapshot())
        self.assertEqual(self.ledger.stored_sizes.total, restored.stored_sizes.total)

    def test_more_steps_subtasks_and_occurrences_are_larger(self):
        sizes = [
            new_job_bytes(spec)
            for spec in (
                JobSpec("", STEPS[:1]),
                JobSpec("", STEPS),
                JobSpec("", STEPS, repeat_count=5),
                JobSpec("", STEPS * 100),
            )
        ]
        self.assertEqual(sorted(sizes), sizes)
