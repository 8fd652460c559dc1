import random
from unittest import mock

import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth
from agateferry_jobs.planning.failed_searches import FailedSearches
from agateferry_jobs.support import job_command, manifest, worker

ROUNDS = 40


class EverySearchMade(FailedSearches):
    """Make every search, also those that failed before."""

    def search(self, key, search):
        return search() or None


def drawn_step(rng):
    need = Resources(cpu=rng.choice((1_000, 4_000)), mem_mb=100, gpu=rng.choice((1, 2, 4, 8)))
    return StepSpec(
        rng.choice((1, 3, 6)),
        need,
        estimated_ms=rng.choice((500, 8_000)),
        is_gang=rng.random() < 0.5,
        same_rack=rng.random() < 0.5,
        data_rack=rng.choice(("", "", "r1")),
        max_per_worker=rng.choice((0, 0, 0, 1)),
        saves_checkpoints=rng.random() < 0.5,
    )


class RepeatedSearchTests(testtools.TestCase):
    """Pattern: hundreds of waiting subtasks of few shapes on a fleet that is full.

    A plan that skips searches which surely fail must decide as one that makes them all.
    """

    def test_a_plan_is_the_same_whether_failed_searches_are_made_again_or_not(self):
        for seed in range(5):
            rng = random.Random(seed)
            ledger = Ledger()
            self.apply(ledger, commands.PutManifest(manifest()))
            for number in range(12):
                self.apply(
                    ledger, commands.NoteWorker(worker(f"w{number}", rack=f"r{number // 4}"))
                )
            for round in range(ROUNDS):
                for number in range(rng.randint(0, 3)):
                    command = job_command(
                        f"j{round}-{number}", drawn_step(rng), priority=rng.choice((0, 1, 2))
                    )
                    self.apply(ledger, command)
                self.check_and_start(ledger, now_ms=round * 400)
                self.end_some(ledger, rng, now_ms=round * 400 + 200)

    def apply(self, ledger, command):
        return ledger.apply(1, commands.encode(command))

    def check_and_start(self, ledger, now_ms):
        plan = self.plan(ledger, now_ms)
        with mock.patch("agateferry_jobs.planning.planner.FailedSearches", EverySearchMade):
            self.assertEqual(self.plan(ledger, now_ms), plan)
        self.apply(ledger, commands.StartRuns(tuple(plan.starts), now_ms))

    def plan(self, ledger, now_ms):
        health = dict.fromkeys(ledger.workers, WorkerHealth())
        return Planner(ledger, Fleet.from_ledger(ledger, health, ()), now_ms).plan()

    def end_some(self, ledger, rng, now_ms):
        ends = [
            commands.RunEnded(job.id, name, subtask.active, commands.RunOutcome.DONE)
            for job in ledger.jobs.values()
            for name, subtask in job.subtasks.items()
            if subtask.active is not None and rng.random() < 0.15
        ]
        self.apply(ledger, commands.EndRuns(tuple(ends), now_ms))
