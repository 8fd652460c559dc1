import msgspec
import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec, peak_gpus
from agateferry_jobs.manifest import Team
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK, rank_jobs, urgent_gpus
from agateferry_jobs.support import job_command, manifest

TEAMS = (Team("a", reserved_gpus=24), Team("b", reserved_gpus=8))


def step(gpus, count=1, **fields):
    return StepSpec(count, Resources(1000, 100, gpus), **fields)


class RanksTests(testtools.TestCase):
    """All urgent jobs of a team lost their guarantee while the team asked for more than it."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        in_force = msgspec.structs.replace(manifest(), teams=TEAMS)
        self.apply(commands.PutManifest(in_force))

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    def accept(self, id, gpus, team="a", priority=0, at_ms=0, steps=()):
        command = job_command(id, *(steps or (step(gpus),)), priority=priority, at_ms=at_ms)
        self.apply(msgspec.structs.replace(command, team=team))

    def guaranteed(self):
        ranks = rank_jobs(self.ledger.jobs.values(), self.ledger.manifest)
        return [id for id, rank in ranks.items() if rank == GUARANTEED_RANK]

    def test_a_job_accepted_within_the_guarantee_keeps_it_when_later_ones_exceed_it(self):
        self.accept("first", 9)
        self.accept("second", 8)
        self.accept("third", 8)
        self.assertEqual(["first", "second"], self.guaranteed())

    def test_a_job_that_needs_more_than_the_guarantee_takes_it_from_no_other(self):
        """A gang of 32 accelerators waited for 28 s, and no job of its team was guaranteed."""
        self.accept("large", 32)
        self.accept("small", 8)
        self.assertEqual(["small"], self.guaranteed())

    def test_a_job_moves_up_when_an_earlier_one_ends(self):
        self.accept("first", 20)
        self.accept("second", 8)
        self.apply(commands.CancelJob("first", 1))
        self.assertEqual(["second"], self.guaranteed())

    def test_the_order_is_that_of_the_ledger(self):
        """A new leader whose clock is behind would put its jobs before those that were there."""
        self.accept("earlier", 20, at_ms=9_000)
        self.accept("later", 20, at_ms=1_000)
        self.assertEqual(["earlier"], self.guaranteed())

    def test_the_order_outlives_a_snapshot(self):
        for number in (3, 1, 2):
            self.accept(f"job-{number}", 20)
        self.ledger.restore(self.ledger.snapshot())
        self.assertEqual(["job-3"], self.guaranteed())

    def test_teams_have_guarantees_of_their_own(self):
        self.accept("of-a", 24)
        self.accept("of-b", 8, team="b")
        self.accept("of-none", 1, team="unknown")
        self.assertEqual(["of-a", "of-b"], self.guaranteed())

    def test_less_urgent_work_uses_no_guarantee(self):
        self.accept("batch", 24, priority=1)
        self.accept("urgent", 24)
        ranks = rank_jobs(self.ledger.jobs.values(), self.ledger.manifest)
        self.assertEqual({"batch": BORROWED_RANK + 1, "urgent": GUARANTEED_RANK}, ranks)

    def test_guaranteed_jobs_never_need_more_than_the_guarantee(self):
        for number, gpus in enumerate((5, 9, 30, 8, 4, 2, 1, 7)):
            self.accept(f"job-{number}", gpus)
        jobs = [self.ledger.jobs[id] for id in self.guaranteed()]
        self.assertTrue(20 < urgent_gpus(jobs)["a"] <= 24)


class PeakGpusTests(testtools.TestCase):
    """Steps that run one after the other were added up, so that such jobs counted as borrowing."""

    def test_steps_in_a_chain_count_by_the_largest(self):
        self.assertEqual(
            8, peak_gpus((step(2), step(8, depends_on=(0,)), step(4, depends_on=(1,))))
        )

    def test_steps_beside_each_other_are_added_up(self):
        steps = (step(1), step(4, 2, depends_on=(0,)), step(3, depends_on=(0,)))
        self.assertEqual(11, peak_gpus(steps))

    def test_independent_steps_are_added_up(self):
        self.assertEqual(10, peak_gpus((step(2), step(8))))

    def test_a_job_without_accelerators_needs_none(self):
        self.assertEqual(0, peak_gpus((step(0), step(0))))
