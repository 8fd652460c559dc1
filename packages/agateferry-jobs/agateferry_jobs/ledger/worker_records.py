"""What the ledger records of workers: their newest incarnations, those that left, and silences."""

from msgspec.structs import replace

from agateferry_core.clock import Clock
from agateferry_jobs.ledger.commands import NoteSilences
from agateferry_jobs.ledger.state import WorkerIncarnation, WorkerKey, WorkerReports, WorkerState
from agateferry_jobs.ledger.stored_state import State

MAX_GONE_KEPT = 20_000
"""How many workers that left are remembered; a late report of one is rarely older than seconds."""


class WorkerRecords:
    """Change the records of workers in the stored state as the commands say."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._silent_leases_until_ms: dict[WorkerKey, int] = {}
        """Until when silent workers may have a lease, on this host's clock; not replicated."""

    def note(self, worker: WorkerIncarnation, sequence: int) -> bool:
        """Record what a report says, or that a worker has gone; return whether that is news.

        An incarnation that drains is never ready again.
        """
        state = self._state
        known = state.workers.get(worker.id)
        if known is not None and worker.born < known.born:
            return False
        if worker.born <= state.gone.get(worker.id, -1):
            return False
        if worker.state is WorkerState.GONE:
            self._remove(worker)
            return known is not None
        reports = WorkerReports(sequence, worker.capacity)
        if known is not None and known.born == worker.born:
            earlier = state.reports.get(worker.id, reports)
            if sequence < earlier.sequence or _is_ready_again(known, worker):
                return False
            reports.largest = reports.largest.max(earlier.largest)
        else:
            self._forget_silence(worker.id)
        state.workers[worker.id] = worker
        state.reports[worker.id] = reports
        return True

    def admit(self, worker: WorkerIncarnation, sequence: int) -> bool:
        """Record an incarnation that was found at its address, whatever is recorded of its id."""
        state = self._state
        known = state.workers.get(worker.id)
        if known is None or known.born != worker.born:
            self._forget_silence(worker.id)
            state.speeds.forget_worker(worker.id)
        elif _is_ready_again(known, worker):
            worker = replace(worker, state=WorkerState.DRAINING)
        state.gone.pop(worker.id, None)
        state.workers[worker.id] = worker
        state.reports[worker.id] = WorkerReports(sequence, worker.capacity)
        return True

    def note_silences(self, command: NoteSilences, clock: Clock | None) -> None:
        """Record silences; a lease expires later here than at the leader that had granted it."""
        for silence in command.silent:
            known = self._state.workers.get(silence.worker)
            if known is not None and known.born == silence.born:
                self._state.silences[silence.worker] = silence.born
                if clock is not None:
                    until_ms = clock.now_ms() + silence.lease_left_ms
                    self._silent_leases_until_ms[silence.worker, silence.born] = until_ms
        for id, born in command.answering:
            if self._state.silences.get(id) == born:
                self._forget_silence(id)

    def is_silent(self, worker: WorkerIncarnation) -> bool:
        """Return whether an incarnation is granted no lease until it is recorded to answer."""
        return self._state.silences.get(worker.id) == worker.born

    def silent_lease_until_ms(self, worker: WorkerIncarnation) -> int | None:
        """Return when the lease of a silent worker expires, on this host's clock.

        None if the worker isn't silent, or a snapshot told this host that it is.
        """
        if not self.is_silent(worker):
            return None
        return self._silent_leases_until_ms.get((worker.id, worker.born))

    def _remove(self, worker: WorkerIncarnation) -> None:
        state = self._state
        state.workers.pop(worker.id, None)
        self._forget_silence(worker.id)
        state.reports.pop(worker.id, None)
        state.speeds.forget_worker(worker.id)
        state.gone.pop(worker.id, None)
        state.gone[worker.id] = worker.born
        if len(state.gone) > MAX_GONE_KEPT:
            del state.gone[next(iter(state.gone))]

    def _forget_silence(self, id: str) -> None:
        born = self._state.silences.pop(id, None)
        if born is not None:
            self._silent_leases_until_ms.pop((id, born), None)


def _is_ready_again(known: WorkerIncarnation, update: WorkerIncarnation) -> bool:
    return known.state is WorkerState.DRAINING and update.state is WorkerState.READY
