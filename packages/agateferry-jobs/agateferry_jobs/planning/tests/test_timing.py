import testtools

from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger import commands as c
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning.timing import Lateness, chain_ms, lateness, slack_ms
from agateferry_jobs.support import job_command, manifest
from agateferry_jobs.support.making import NEED


def job_of(*steps):
    ledger = Ledger()
    ledger.apply(1, c.encode(job_command("j", *steps)))
    return ledger.jobs["j"]


class TimingTests(testtools.TestCase):
    """The queue of the manifest has a stretch of 3 and a target of 1000 ms."""

    def setUp(self):
        super().setUp()
        self.manifest = manifest(stretch=3.0, target_ms=1000)

    def test_the_chain_follows_the_longest_dependencies(self):
        steps = (
            StepSpec(1, NEED, estimated_ms=100),
            StepSpec(1, NEED, estimated_ms=500),
            StepSpec(1, NEED, estimated_ms=30, depends_on=(0,)),
        )
        self.assertEqual(500, chain_ms(job_of(*steps)))

    def test_slack_is_what_the_objective_leaves_beside_the_work(self):
        job = job_of(StepSpec(1, NEED, estimated_ms=2000))
        self.assertEqual(5000, slack_ms(job, self.manifest))
        self.assertEqual(0, slack_ms(job, None))

    def test_a_job_is_in_time_then_late_then_hopeless(self):
        job = job_of(StepSpec(1, NEED, estimated_ms=2000))
        for waited_ms, expected in (
            (5000, Lateness.IN_TIME),
            (5001, Lateness.LATE),
            (19_000, Lateness.LATE),
            (19_001, Lateness.HOPELESS),
        ):
            self.assertEqual(expected, lateness(job, self.manifest, waited_ms))
