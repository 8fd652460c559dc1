"""The indexes of the ledger against its records, over random commands from a seed."""

import random

import testtools

from agateferry_jobs.ledger import Ledger, Run, commands
from agateferry_jobs.ledger.active_runs import ActiveRuns
from agateferry_jobs.ledger.commands import RunOutcome
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.support import job_command

NEED = Resources(1, 1, 1)
SEEDS = range(20)
STEPS = 150


class RandomCommands:
    """Apply random commands to a ledger of some jobs."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        for number in range(4):
            self.apply(job_command(f"j{number}", *self.steps(), **self.schedule()))

    def apply(self, command):
        return self.ledger.apply(1, commands.encode(command))

    def steps(self):
        return tuple(
            StepSpec(
                self.rng.randint(1, 4),
                NEED,
                is_gang=self.rng.random() < 0.3,
                is_long_running=self.rng.random() < 0.1,
                depends_on=tuple(self.rng.choices(range(number), k=2)) if number else (),
            )
            for number in range(self.rng.randint(1, 4))
        )

    def schedule(self):
        return {"repeat_count": self.rng.choice((0, 1, 3))}

    def step(self):
        self.rng.choice(
            [self.start] * 5 + [self.end] * 5 + [self.late_end, self.cancel, self.restore]
        )()

    def any_subtask(self):
        jobs = [job for job in self.ledger.jobs.values() if job.subtasks]
        if not jobs:
            return None
        job = self.rng.choice(jobs)
        return job, self.rng.choice(sorted(job.subtasks))

    def start(self):
        if found := self.any_subtask():
            job, name = found
            run = Run(job.subtasks[name].last_run + 1, f"w{self.rng.randint(0, 3)}", 1)
            self.apply(commands.StartRuns((commands.RunStart(job.id, name, run),), 1))

    def end(self):
        if self.ledger.active_runs.by_key:
            key = self.rng.choice(sorted(self.ledger.active_runs.by_key))
            self.end_run(key, self.ledger.active_runs.by_key[key])

    def late_end(self):
        if found := self.any_subtask():
            self.end_run((found[0].id, found[1]), Run(0, "w9", 1))

    def end_run(self, key, run):
        outcome = self.rng.choice((RunOutcome.DONE, RunOutcome.DONE, *RunOutcome))
        self.apply(commands.EndRuns((commands.RunEnded(*key, run, outcome),), 2))

    def cancel(self):
        if self.rng.random() < 0.1:
            self.apply(commands.CancelJob(self.rng.choice(sorted(self.ledger.jobs)), 3))

    def restore(self):
        self.ledger.restore(self.ledger.snapshot())


def waiting_in(job):
    """Return the waiting subtasks of each startable step, found by a look at all of the record."""
    found = {}
    for occurrence in range(job.spec.occurrences):
        for number, step in enumerate(job.spec.steps):
            subtasks = {name: job.subtasks[name] for name in job.members(f"{occurrence}.{number}")}
            names = [n for n, each in subtasks.items() if not each.is_done and each.active is None]
            if names and all(job.is_step_done(occurrence, each) for each in step.depends_on):
                found[occurrence, number] = names
    return found


class IndexTests(testtools.TestCase):
    """An index that differs from the records starts nothing, or too early, or twice."""

    def check(self, ledger):
        for job in ledger.jobs.values():
            if not job.is_over:
                self.check_progress(job, ledger.progress_of(job))
        by_key = dict(ledger.active_runs.in_order(ledger.jobs))
        self.assertEqual(
            list(ActiveRuns(ledger.jobs.values()).by_key.items()), list(by_key.items())
        )

    def check_progress(self, job, progress):
        found = {
            (occurrence, number): list(progress.waiting(unit))
            for unit, occurrence, number in progress.startable_steps(0, job.spec.occurrences)
        }
        self.assertEqual(waiting_in(job), found)
        self.assertEqual(sum(not each.is_done for each in job.subtasks.values()), progress.undone)
        for gang in {name.rpartition(".")[0] for name in job.subtasks}:
            active = sum(job.subtasks[name].active is not None for name in job.members(gang))
            self.assertEqual(active, progress.active_in(gang))

    def test_indexes_follow_the_records(self):
        for seed in SEEDS:
            scenario = RandomCommands(seed)
            for _ in range(STEPS):
                scenario.step()
                self.check(scenario.ledger)

    def test_jobs_end_as_all_of_their_records_say(self):
        for seed in SEEDS:
            scenario = RandomCommands(seed)
            for _ in range(STEPS):
                scenario.step()
                for job in scenario.ledger.jobs.values():
                    if not job.is_over:
                        self.assertFalse(all(each.is_done for each in job.subtasks.values()))
