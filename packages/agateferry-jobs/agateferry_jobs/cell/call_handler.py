"""Handle the calls of callers and operators: jobs, queue depths and the manifest."""

from collections.abc import Callable

from msgspec import UNSET

from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.begun_jobs import BegunJobs
from agateferry_jobs.cell.job_admission import JobAdmission, job_item
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.ledger import Job, Ledger, commands
from agateferry_jobs.ledger.cancellations import AcceptResult, CancelResult
from agateferry_jobs.ledger.specs import declared_critical_path_ms
from agateferry_jobs.ledger.team_records import NO_TEAM, Caller, digest_of
from agateferry_jobs.manifest import Manifest, Queue

NO_MANIFEST_RETRY_MS = 1_000
"""When to retry while the cell has no manifest; operators resend theirs about as often."""

CANCELLATION_MS = 30_000
"""How long a submission counts as cancelled that arrives after its cancellation was answered.

The timeout of its queue is added. Hosts stand still for some seconds at a time, and a submission
may have to wait for an entry and then for a leader.
"""
MAX_STEPS_LOGGED = 20
"""How many steps of an accepted job its log line shows."""
MAX_LABEL_CHARS_LOGGED = 40
MAX_ID_CHARS = 200
"""Ids are kept several times for each job; callers choose ids of 16 digits."""
JOBS_FULL_RETRY_MS = 5_000
"""When to resubmit a job for which there is no room; by then some others have been dropped."""
CANCELLATIONS_FULL_RETRY_MS = 5_000
"""When to repeat a cancellation that cannot be stored; by then some others have expired."""
ID_IN_USE = "id is in use"


class CallHandler:
    """Check each call against the manifest, commit its command and return the reply."""

    def __init__(
        self,
        ledger: Ledger,
        proposer: Proposer,
        begun_jobs: BegunJobs,
        admission: JobAdmission,
        request_planning: Callable[[], None],
    ) -> None:
        self._admission = admission
        self._begun_jobs = begun_jobs
        self._ledger = ledger
        self._proposer = proposer
        self._request_planning = request_planning
        self._log = EventLogger()

    async def submit(self, call: messages.Submit, now_ms: int) -> messages.Reply:
        """Accept a job; submitting the same id again in its queue succeeds and changes nothing."""
        reply = await self._submit(call, now_ms)
        if not isinstance(reply, messages.Done):
            self._log.info(
                events.JOB_REFUSED, path=call.target.path, reason=reply.label, flaw=call.parse_error
            )
        return reply

    async def _submit(self, call: messages.Submit, now_ms: int) -> messages.Reply:
        if self._was_accepted_by(call):
            return messages.Done()
        found = self._resolve_target(call.target)
        if not isinstance(found, tuple):
            return found
        queue, caller = found
        id = _job_id_in(call.target.path, queue)
        if len(id) > MAX_ID_CHARS:
            return messages.Invalid(f"the id has over {MAX_ID_CHARS} characters")
        if not id or call.job is None:
            return messages.Invalid(call.parse_error or "no id in the path")
        if self._find_job(call.target, queue, caller) is not None:
            return messages.Done()
        if id in self._ledger.jobs:
            return messages.Invalid(ID_IN_USE)
        item = job_item(id, caller.team, call.job)
        shortage = self._admission.find_shortage(item, now_ms)
        if shortage is not None:
            return messages.Refused(shortage, JOBS_FULL_RETRY_MS)
        command = commands.AcceptJob(
            id,
            queue.name,
            queue.service,
            caller.team,
            queue.priority,
            queue.attempts,
            now_ms,
            call.job,
            call.target.host,
            call.target.path,
            call.call_id,
            caller.key,
            caller.version,
        )
        with self._admission.committing(item):
            result = await self._proposer.propose(command)
        if result.is_error():
            return reply_for_error(result.error)
        if result.ok is AcceptResult.CANCELLED:
            return self._refuse_cancelled(call.target, caller, now_ms)
        if result.ok is AcceptResult.KNOWN:
            # Another submission with this id was committed meanwhile.
            is_own = self._find_job(call.target, queue, caller) is not None
            return messages.Done() if is_own else messages.Invalid(ID_IN_USE)
        metrics.ACCEPTED.labels(str(queue.priority)).inc()
        self._log.info(
            events.JOB_ACCEPTED,
            job=id,
            queue=queue.name,
            team=caller.team,
            priority=queue.priority,
            objective_ms=round(
                queue.stretch * declared_critical_path_ms(call.job) + queue.target_ms
            ),
            steps=_step_summaries(call),
        )
        self._request_planning()
        return messages.Done()

    def _was_accepted_by(self, call: messages.Submit) -> bool:
        """Return whether an earlier attempt of this very call has been accepted.

        Its key or route may have been removed since. The job runs, so it must not be rejected.
        """
        job = self._ledger.jobs.get(call.target.path.rpartition("/")[2])
        if job is None or call.call_id is UNSET or job.call_id != call.call_id:
            return False
        self._log.info(events.SUBMISSION_REPEATED, job=job.id)
        return True

    def _refuse_cancelled(
        self, target: messages.CallTarget, caller: Caller, now_ms: int
    ) -> messages.Reply:
        until_ms = self._ledger.cancelled_until_ms(caller, target.host, target.path, now_ms)
        return messages.Refused("cancelled before it arrived", max(1, (until_ms or 0) - now_ms))

    def get_status(self, call: messages.GetStatus) -> messages.Reply:
        """Return a job's state or, where the path has no id, how many jobs wait in the queue."""
        found = self._resolve_target(call.target)
        if not isinstance(found, tuple):
            return found
        queue, caller = found
        if not _job_id_in(call.target.path, queue):
            return messages.QueueDepth(self._queue_depth(queue))
        job = self._find_job(call.target, queue, caller)
        if job is None:
            return messages.UnknownJob()
        reason = job.failure if job.is_failed and job.failure else UNSET
        return messages.JobStatus(job.state_if(self._begun_jobs.has_begun(job)), reason)

    async def cancel(self, call: messages.Cancel, now_ms: int) -> messages.Reply:
        """Cancel a job; one that has ended stays as it is.

        Where no such job is known, its submission may still arrive, and is refused then.
        """
        found = self._resolve_target(call.target)
        if not isinstance(found, tuple):
            return found
        queue, caller = found
        id = _job_id_in(call.target.path, queue)
        job = self._find_job(call.target, queue, caller)
        if not id:
            return messages.UnknownJob()
        if job is not None and job.is_over:
            return messages.Done()
        if job is not None:
            command = commands.CancelJob(job.id, now_ms)
        else:
            command = commands.CancelJob(
                id,
                now_ms,
                call.target.host,
                call.target.path,
                caller.team,
                now_ms + queue.timeout_ms + CANCELLATION_MS,
                caller.key,
                caller.version,
            )
        result = await self._proposer.propose(command)
        if result.is_error():
            return reply_for_error(result.error)
        job = self._find_job(call.target, queue, caller)
        return self._reply_to_cancel(result.ok, job, id, caller.team)

    def _reply_to_cancel(
        self, result: CancelResult, job: Job | None, id: str, team: str
    ) -> messages.Reply:
        match result:
            case CancelResult.CANCELLED:
                had_started = job is not None and self._begun_jobs.has_begun(job)
                self._log.info(events.JOB_CANCELLED, job=id, had_started=had_started)
                self._request_planning()
                return messages.Done()
            case CancelResult.AWAITED:
                return messages.UnknownJob()
            case CancelResult.FULL:
                self._log.warning(events.CANCELLATIONS_FULL, team=team, job=id)
                return messages.Refused("too many cancellations", CANCELLATIONS_FULL_RETRY_MS)

    async def install(self, manifest: Manifest) -> messages.Reply:
        """Put a manifest in force; one that is not newer is acknowledged and changes nothing."""
        current = self._ledger.manifest
        if current is not None and manifest.version <= current.version:
            return messages.Done()
        result = await self._proposer.propose(commands.PutManifest(manifest, moves_teams=True))
        if result.is_error():
            return reply_for_error(result.error)
        self._log.info(events.MANIFEST_IN_FORCE, version=manifest.version)
        self._request_planning()
        return messages.Done()

    def read_manifest(self) -> messages.Reply:
        """Return the newest manifest."""
        manifest = self._ledger.manifest
        if manifest is None:
            return messages.Refused("no manifest yet", NO_MANIFEST_RETRY_MS)
        return messages.ManifestRead(manifest.source)

    def _resolve_target(self, target: messages.CallTarget) -> tuple[Queue, Caller] | messages.Reply:
        """Return the queue and the caller, or the reply that rejects the call.

        A public queue asks for no key, but one that is given has to be valid.
        """
        manifest = self._ledger.manifest
        if manifest is None:
            return messages.Refused("no manifest yet", NO_MANIFEST_RETRY_MS)
        queue = manifest.queue_for(target.host, target.path)
        if queue is None:
            return messages.UnknownQueue()
        team = manifest.team_of(target.key)
        if team is None and (target.key or not queue.is_public):
            return messages.InvalidApiKey()
        name = team.name if team is not None else NO_TEAM
        return queue, Caller(name, digest_of(target.key), manifest.version)

    def _find_job(self, target: messages.CallTarget, queue: Queue, caller: Caller) -> Job | None:
        """Return the job at an address, None if there is none that this caller may know of.

        A public queue asks for no key, so its jobs are everybody's.
        """
        id = _job_id_in(target.path, queue)
        job = self._ledger.job_at(target.host, target.path, id, queue)
        if job is None or queue.is_public or self._ledger.may_access(caller, job):
            return job
        self._log.info(events.JOB_HIDDEN, job=job.id, team=job.team, caller_team=caller.team)
        return None

    def _queue_depth(self, queue: Queue) -> int:
        return sum(
            1
            for job in self._ledger.jobs.values()
            if not job.is_over and not self._begun_jobs.has_begun(job) and self._is_in(job, queue)
        )

    def _is_in(self, job: Job, queue: Queue) -> bool:
        """Return whether calls to a job's address select this queue."""
        manifest = self._ledger.manifest
        if not job.path or manifest is None:
            return self._ledger.queue_of(job) == queue
        return queue.has_path(job.host, job.path) and (
            manifest.queue_for(job.host, job.path) == queue
        )


def _job_id_in(path: str, queue: Queue) -> str:
    return path[len(queue.prefix) :]


def _step_summaries(call: messages.Submit) -> list[str]:
    steps = call.job.steps if call.job is not None else ()
    summaries = [
        f"{s.count}x{s.need.cpu}c{s.need.mem_mb}m{s.need.gpu}g{'G' if s.is_gang else ''}"
        f"{'R' if s.same_rack else ''}{s.required_label[:MAX_LABEL_CHARS_LOGGED]}"
        f"@{s.data_rack[:MAX_LABEL_CHARS_LOGGED]}~{s.estimated_ms}"
        for s in steps[:MAX_STEPS_LOGGED]
    ]
    left = len(steps) - len(summaries)
    return [*summaries, f"and {left} more"] if left else summaries
