"""Which subtasks are suspected of crashing their workers, and which are to be given up.

All that ran on a crashed worker is suspected. A suspect is told from the innocent by running it
where no other suspect runs: if its worker crashes again, no other cause is in question. Crashes of
many workers at once accuse nobody.

A subtask that lasts is never given up, since the platform wants it restarted however it ends. It
starts again after growing pauses, and once it is known as the cause nothing else runs beside it.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.crashes import sure_crashes
from agateferry_jobs.ledger.state import CrashEvidence, RunCrash, step_number

CRASHES_ALONE_TO_GIVE_UP = 2
"""How many crashes with no other cause in question prove that a subtask is the cause."""
CRASHES_AT_START_TO_GIVE_UP = 2
"""The same, counting crashes beside others too, where each came right after the start."""
START_CRASH_MS = 1_000
"""A crash within this time of the start is one at the start."""
MAX_CRASHES = 4
"""A subtask is given up after this many crashes of any kind, which bounds its runs."""
SETTLE_MS = 1_000
"""How long to wait for other crashes, which may show a wider failure, before giving a job up."""
PROBATION_MS = 60_000
"""How long jobs that were given up make the others of their queue suspect."""
GIVEN_UP_FOR_PROBATION = 2
"""How many jobs of a queue must be given up in that time."""
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 5_000
"""The longest pause of a subtask that lasts, which the platform misses 6 s after its last run."""
MIN_TRIAL_MS = 1_000
MAX_TRIAL_MS = 4_000
"""The limits of how long a suspect runs apart from others until it counts as safe."""


@dataclass(frozen=True, slots=True)
class GuiltySubtask:
    """A subtask that is to be given up, with the crashes under it."""

    job: Job
    subtask: str
    crashes: tuple[RunCrash, ...]

    @property
    def reason(self) -> str:
        """Return why the job fails, for its caller."""
        workers = ", ".join(crash.run.worker for crash in self.crashes)
        return f"{len(self.crashes)} workers crashed under subtask {self.subtask}: {workers}"


class CrashSuspects:
    """The subtasks that are suspected of crashing workers, at one moment."""

    def __init__(self, ledger: Ledger, now_ms: int) -> None:
        self._now_ms = now_ms
        self._wide = ledger.wide_failures()
        self._jobs = [job for job in ledger.jobs.values() if job.crashes and not job.is_over]
        self._suspects = {
            (job.id, name)
            for job in self._jobs
            for name in job.crashes
            if sure_crashes(job, name, self._wide)
        }
        self._suspect_steps = {(id, step_number(name)) for id, name in self._suspects}
        self._lasting_causes = {
            (job.id, name)
            for job in self._jobs
            for name in job.crashes
            if job.step_of(name).is_long_running and self._is_cause(job, name)
        }
        self._explained_workers = {
            crash.run.worker_key
            for id, name in self._lasting_causes
            for crash in ledger.jobs[id].crashes[name]
        }
        """The workers that crashed under subtasks that last and are known as the cause."""
        self._queues = _queues_on_probation(ledger, now_ms)
        self._new_jobs = [
            job for job in ledger.jobs.values() if job.queue in self._queues and not job.is_over
        ]

    def guilty(self) -> Iterator[GuiltySubtask]:
        """Return a subtask of each job that is to be given up now."""
        for job in self._jobs:
            for name in job.crashes:
                crashes = _known_crashes(job, name)
                if self.is_guilty(job, name) and self._has_settled(crashes):
                    yield GuiltySubtask(job, name, crashes)
                    break

    def is_guilty(self, job: Job, name: str) -> bool:
        """Return whether a subtask is to be given up, as the cause or after too many crashes."""
        if name not in job.crashes or job.step_of(name).is_long_running:
            return False
        return self._has_too_many_crashes(job, name) or self._is_cause(job, name)

    def is_paused(self, job: Job, name: str) -> bool:
        """Return whether a subtask that lasts may not start again yet after a crash.

        The pause begins with the crash, and doubles with each further one.
        """
        if name not in job.crashes or not job.step_of(name).is_long_running:
            return False
        subtask, crashes = job.subtasks[name], sure_crashes(job, name, self._wide)
        if not crashes or crashes[-1].run.number != subtask.last_run:
            return False
        crashed_ms = subtask.started_ms + crashes[-1].ran_ms
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (len(crashes) - 1))
        return self._now_ms < crashed_ms + pause_ms

    def _has_too_many_crashes(self, job: Job, name: str) -> bool:
        """Return whether a subtask has had the most crashes of any kind, but those explained."""
        counted = [
            crash
            for crash in _known_crashes(job, name)
            if crash.run.worker_key not in self._explained_workers
        ]
        return len(counted) >= MAX_CRASHES

    def _is_cause(self, job: Job, name: str) -> bool:
        """Return whether the crashes under a subtask show that it causes them."""
        sure = sure_crashes(job, name, self._wide)
        alone = sum(crash.is_alone for crash in sure)
        at_start = sum(crash.ran_ms <= START_CRASH_MS for crash in sure)
        is_typical = alone > 0 and at_start >= CRASHES_AT_START_TO_GIVE_UP
        return alone >= CRASHES_ALONE_TO_GIVE_UP or is_typical

    def has_suspects(self, job: Job) -> bool:
        """Return whether any subtask of a job may be suspected."""
        return bool(job.crashes) or job.queue in self._queues

    def is_suspect(self, job: Job, name: str) -> bool:
        """Return whether a subtask is suspected of crashing its workers.

        One that has not begun yet is suspected with its siblings, which do the same work, and with
        its queue after several jobs of it were given up.
        """
        if (job.id, name) in self._suspects:
            return True
        if job.subtasks[name].last_run > 0:
            return False
        return job.queue in self._queues or (job.id, step_number(name)) in self._suspect_steps

    def is_on_trial(self, job: Job, name: str) -> bool:
        """Return whether the active run of a suspect has yet to show that it harms nothing.

        One of a subtask that lasts and is known as the cause does not until its crashes are
        forgotten.
        """
        subtask = job.subtasks[name]
        if (job.id, name) in self._lasting_causes:
            return True
        trial_ms = 0
        if (job.id, name) in self._suspects:
            longest_ms = max(crash.ran_ms for crash in sure_crashes(job, name, self._wide))
            trial_ms = min(MAX_TRIAL_MS, longest_ms + MIN_TRIAL_MS)
        elif subtask.last_run == 1 and job.queue in self._queues:
            trial_ms = MIN_TRIAL_MS
        return self._now_ms - subtask.started_ms < trial_ms

    def on_trial(self) -> Iterator[tuple[Job, str, Run]]:
        """Return the active runs that are on trial."""
        for job in (*self._jobs, *self._new_jobs):
            for name, subtask in job.subtasks.items():
                if subtask.active is not None and self.is_on_trial(job, name):
                    yield job, name, subtask.active

    def suspected_since_ms(self, job: Job, name: str) -> int:
        """Return since when a suspect is one: its newest crash, a sibling's, or its acceptance."""
        step = step_number(name)
        names = [name] if name in job.crashes else job.crashes
        crashes = (c for each in names if step_number(each) == step for c in job.crashes[each])
        return max((crash.at_ms for crash in crashes), default=job.accepted_ms)

    def _has_settled(self, crashes: tuple[RunCrash, ...]) -> bool:
        return self._now_ms - max(crash.at_ms for crash in crashes) >= SETTLE_MS


def _known_crashes(job: Job, name: str) -> tuple[RunCrash, ...]:
    """Return the crashes of workers under a subtask, without mere silence."""
    return tuple(
        crash for crash in job.crashes.get(name, ()) if crash.evidence is not CrashEvidence.SILENT
    )


def _queues_on_probation(ledger: Ledger, now_ms: int) -> set[str]:
    """Return the queues of which several jobs were given up of late."""
    recent = Counter(
        each.queue for each in ledger.state.given_up if now_ms - each.at_ms < PROBATION_MS
    )
    return {queue for queue, count in recent.items() if count >= GIVEN_UP_FOR_PROBATION}
