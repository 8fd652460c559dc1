"""What the ledger records of jobs as their callers know them: acceptance, address, cancellation."""

from msgspec import UNSET

from agateferry_jobs.ledger import commands
from agateferry_jobs.ledger.cancellations import AcceptResult, CancellationRecords, CancelResult
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import Job, Subtask
from agateferry_jobs.ledger.stored_sizes import StoredSizes
from agateferry_jobs.ledger.stored_state import State
from agateferry_jobs.ledger.team_records import Caller, TeamRecords

ENDED_JOB_RETENTION_MS = 300_000
"""How long the state of an ended job can be queried.

It is over twice the longest time that the platform requires.
"""


class JobRecords:
    """Change the records of jobs, cancellations and the manifest as the commands say."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._cancellations = CancellationRecords(state.cancellations, state.cancelled_in)
        self.teams = TeamRecords(state.teams, state.jobs, self._cancellations)
        self.stored_sizes = StoredSizes(state.jobs.values())
        self._ids_by_address = {
            (job.host, job.path): job.id for job in state.jobs.values() if job.path
        }

    def at_address(self, host: str, path: str) -> Job | None:
        """Return the job that was submitted to an address, None if there is none."""
        id = self._ids_by_address.get((host, path))
        return self._state.jobs[id] if id is not None else None

    def put_manifest(self, command: commands.PutManifest) -> bool:
        """Put a manifest in force, unless it is not newer; return whether it is in force now."""
        current, manifest = self._state.manifest, command.manifest
        if current is not None and manifest.version <= current.version:
            return False
        if current is not None and command.moves_teams:
            new_names = self.teams.change_teams(current, manifest)
            self.stored_sizes.rename_teams(new_names)
        self._state.manifest = manifest
        return True

    def accept(self, command: commands.AcceptJob) -> AcceptResult:
        """Record an accepted job, unless it is known or cancelled; drop those that have expired."""
        if command.id in self._state.jobs:
            return AcceptResult.KNOWN
        caller, at_ms = self._caller_of(command), command.at_ms
        address = command.host + command.path
        if self.teams.cancelled_until_ms(caller, address, at_ms) is not None:
            return AcceptResult.CANCELLED
        self._cancellations.drop_expired(at_ms)
        self._drop_expired(at_ms)
        job = Job(
            id=command.id,
            queue=command.queue,
            service=command.service,
            team=self.teams.current_name(caller.team, caller.version),
            priority=command.priority,
            attempts=command.attempts,
            accepted_ms=at_ms,
            spec=command.spec,
            host=command.host,
            path=command.path,
            call_id=command.call_id,
            is_known_begun=False,
            manifest_version=command.manifest_version or 0,
        )
        job.subtasks = {name: Subtask() for name in _subtask_names(command.spec)}
        self._state.jobs[job.id] = job
        self.stored_sizes.update(job)
        if job.path:
            self._ids_by_address[job.host, job.path] = job.id
        return AcceptResult.ACCEPTED

    def find_cancelled(self, command: commands.CancelJob) -> Job | None:
        """Return the job that a command cancels, None if none is known that its caller may."""
        if not command.path:
            return self._state.jobs.get(command.id)
        job = self.at_address(command.host, command.path)
        if job is None or not self.teams.may_access(self._caller_of(command), job):
            return None
        return job

    def store_cancellation(self, command: commands.CancelJob) -> CancelResult:
        """Store the cancellation of a job that has not arrived."""
        caller = self._caller_of(command)
        return self._cancellations.store(
            self.teams.current_name(caller.team, caller.version),
            command.host + command.path,
            command.until_ms,
            command.at_ms,
            caller.version,
        )

    def expired(self, now_ms: int) -> list[Job]:
        """Return the ended jobs that are dropped when a job is accepted now."""
        return [
            job
            for job in self._state.jobs.values()
            if job.is_over and not job.subtasks and now_ms - job.ended_ms > ENDED_JOB_RETENTION_MS
        ]

    def _drop_expired(self, now_ms: int) -> None:
        for job in self.expired(now_ms):
            del self._state.jobs[job.id]
            self.stored_sizes.remove(job)
            self._ids_by_address.pop((job.host, job.path), None)

    def _caller_of(self, command: commands.AcceptJob | commands.CancelJob) -> Caller:
        """Return the caller that a command is of, as of the version that it was checked under.

        A command of an earlier version of agateferry doesn't tell, and counts as of the one in
        force.
        """
        version = command.manifest_version
        if version is UNSET:
            version = self._state.manifest.version if self._state.manifest is not None else 0
        return Caller(command.team, b"" if command.key is UNSET else command.key, version)


def _subtask_names(spec: JobSpec) -> list[str]:
    return [
        f"{occurrence}.{step}.{index}"
        for occurrence in range(spec.occurrences)
        for step, each in enumerate(spec.steps)
        for index in range(each.count)
    ]
