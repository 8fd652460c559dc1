"""The state machine of all requests of one availability zone.

Every change of a request is a command in the cell's log, applied in the same order on every host.
A change is neither acted on nor reported to a caller before its command has been applied. The
ledger does not read a clock: the times in commands come from the leader that proposed them.

Requests that have ended are many and rarely read, so they are kept in the serialized form that
snapshots use. The serialized form of an open request is cached until the request changes, so that
a snapshot costs little more than what changed since the last one.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import replace

from agateferry_service.requests.codec import (
    placement_from_pb,
    request_from_pb,
    request_to_pb,
    spec_from_pb,
)
from agateferry_service.requests.messages import CommandResult, CommandResultKind
from agateferry_service.requests.state import (
    Placement,
    Request,
    RequestState,
    RunCertainty,
    parse_lease,
)
from agateferry_service.rpc import commands_pb2 as pb

REASON_CANCELLED = "cancelled"
REASON_DEADLINE = "deadline"


class Ledger:
    """Hold all requests that have not been dropped, by id and by idempotency key."""

    def __init__(self) -> None:
        self._open: dict[str, Request] = {}
        self._ended: dict[str, bytes] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._serialized: dict[str, bytes] = {}
        self.payload_bytes: Counter[str] = Counter()
        """By team, the bytes of the payloads of its open requests."""

    def __len__(self) -> int:
        """Return the number of requests held."""
        return len(self._open) + len(self._ended)

    def get(self, request_id: str) -> Request | None:
        """Return a request, or None if it is unknown or has been dropped.

        A request that has ended is a copy, deserialized for this call; changes to it are lost.
        """
        known = self._open.get(request_id)
        if known is not None:
            return known
        serialized = self._ended.get(request_id)
        return _deserialize(serialized) if serialized is not None else None

    def by_key(self, team: str, key: str) -> Request | None:
        """Return the request that a team submitted with an idempotency key."""
        request_id = self._by_key.get((team, key))
        return self.get(request_id) if request_id else None

    def open_requests(self) -> Iterator[Request]:
        """Yield every request that has not ended, in order of acceptance."""
        return iter(self._open.values())

    def is_active_lease(self, lease: str) -> bool:
        """Return whether a lease belongs to the current attempt of an open request."""
        parsed = parse_lease(lease)
        if parsed is None:
            return False
        request = self._open.get(parsed[0])
        return request is not None and request.has_active_attempt and request.attempt == parsed[1]

    def accept(self, command: pb.Accept, may_start: bool = True) -> CommandResult:
        """Store a new request, or return the existing one if this is a resend.

        Without `may_start`, which is false while the zone is evacuated, the request waits whatever
        placements the command has.
        """
        spec = spec_from_pb(command.spec)
        known = self.get(spec.id)
        if known is None and spec.key:
            known = self.by_key(spec.team, spec.key)
        if known is not None:
            return self._resend_result(known, spec.body_digest)
        request = Request(spec)
        self._open[spec.id] = request
        self.payload_bytes[spec.team] += len(spec.payload)
        if spec.key:
            self._by_key[(spec.team, spec.key)] = spec.id
        if command.placements and may_start:
            self._begin_attempt(request, _placements(command.placements))
        return self._mark_changed(request)

    def place(self, command: pb.Place, may_start: bool = True) -> CommandResult:
        """Store the placements of a new attempt; only a waiting request can be placed.

        Nothing is placed without `may_start`, which is false while the zone is evacuated.
        """
        request = self.get(command.request_id)
        if request is None:
            return CommandResult(CommandResultKind.UNKNOWN_REQUEST)
        waits = request.state is RequestState.ACCEPTED
        if not waits or command.attempt != request.attempt + 1:
            return CommandResult(CommandResultKind.STALE, request)
        if not may_start:
            return CommandResult(CommandResultKind.NOT_PLACED, request)
        self._begin_attempt(request, _placements(command.placements))
        return self._mark_changed(request)

    def progress(self, command: pb.Progress) -> CommandResult:
        """Store that an attempt runs, with its progress and last checkpoint."""
        found = self._current_attempt(command.request_id, command.attempt)
        if found.kind is not CommandResultKind.DONE or found.request is None:
            return found
        request = found.request
        request.state = RequestState.RUNNING
        request.run = RunCertainty.RAN
        _update_progress(request, command.progress, command.checkpoint_step)
        return found

    def finish(self, command: pb.Finish) -> CommandResult:
        """Store the answers; they take precedence over a cancellation in progress."""
        found = self._current_attempt(command.request_id, command.attempt)
        if found.kind is not CommandResultKind.DONE or found.request is None:
            return found
        request = found.request
        request.answers = tuple(command.answers)
        request.progress = 1.0
        request.run = RunCertainty.RAN
        self._end(request, RequestState.FINISHED, command.wall_ms)
        return found

    def cancel(self, command: pb.RequestCancel) -> CommandResult:
        """Cancel a waiting request at once; mark one with an attempt to be cancelled at its end."""
        request = self.get(command.request_id)
        if request is None:
            return CommandResult(CommandResultKind.UNKNOWN_REQUEST)
        if request.ended:
            return CommandResult(CommandResultKind.ALREADY_ENDED, request)
        if request.has_active_attempt:
            request.cancelling = True
        else:
            self._end(request, RequestState.CANCELLED, command.wall_ms, REASON_CANCELLED)
        return self._mark_changed(request)

    def attempt_failed(self, command: pb.AttemptFailed) -> CommandResult:
        """End an attempt that has no answer.

        The request is cancelled if a cancellation is pending; otherwise it fails or waits again.
        """
        found = self._current_attempt(command.request_id, command.attempt)
        if found.kind is not CommandResultKind.DONE or found.request is None:
            return found
        request = found.request
        _update_progress(request, command.progress, command.checkpoint_step)
        request.run = _combine_run_certainty(request.run, RunCertainty(command.run))
        request.detail = command.detail
        if command.counts:
            request.failures += 1
        if request.cancelling:
            self._end(request, RequestState.CANCELLED, command.wall_ms, REASON_CANCELLED)
        elif _is_final(request, command):
            self._end(request, RequestState.FAILED, command.wall_ms, command.reason)
        else:
            request.state = RequestState.ACCEPTED
            request.placements = ()
        return found

    def give_up(self, command: pb.GiveUp) -> CommandResult:
        """Fail a waiting request that will not be placed."""
        request = self.get(command.request_id)
        if request is None:
            return CommandResult(CommandResultKind.UNKNOWN_REQUEST)
        if request.state is not RequestState.ACCEPTED:
            return CommandResult(CommandResultKind.STALE, request)
        request.detail = command.detail
        self._end(request, RequestState.FAILED, command.wall_ms, command.reason)
        return self._mark_changed(request)

    def forget(self, command: pb.Forget) -> CommandResult:
        """Drop requests that ended before the given time, with their keys and answers."""
        while self._ended:
            request = _deserialize(next(iter(self._ended.values())))
            if request.ended_wall_ms >= command.ended_before_wall_ms:
                break
            self._remove(request)
        return CommandResult(CommandResultKind.DONE)

    def oldest_end_wall_ms(self) -> int | None:
        """Return the end time of the request that ended first."""
        oldest = next(iter(self._ended.values()), None)
        return _deserialize(oldest).ended_wall_ms if oldest is not None else None

    def store(self) -> list[bytes]:
        """Return all requests serialized: first the ended ones, in the order of their ends."""
        for request in self._open.values():
            if request.id not in self._serialized:
                self._serialized[request.id] = _serialize(request)
        return [*self._ended.values(), *(self._serialized[request_id] for request_id in self._open)]

    def load(self, stored: Iterable[bytes]) -> None:
        """Replace all requests with those of a snapshot."""
        self.__init__()  # type: ignore[misc]
        for serialized in stored:
            request = _deserialize(serialized)
            if request.spec.key:
                self._by_key[(request.spec.team, request.spec.key)] = request.id
            if request.ended:
                self._ended[request.id] = serialized
            else:
                self._open[request.id] = request
                self.payload_bytes[request.spec.team] += len(request.spec.payload)
                self._serialized[request.id] = serialized

    def _resend_result(self, known: Request, body_digest: bytes) -> CommandResult:
        same_body = known.spec.body_digest == body_digest
        return CommandResult(
            CommandResultKind.DUPLICATE if same_body else CommandResultKind.KEY_REUSED, known
        )

    def _begin_attempt(self, request: Request, placements: tuple[Placement, ...]) -> None:
        request.attempt += 1
        request.placements = placements
        request.state = RequestState.PLACED

    def _mark_changed(self, request: Request) -> CommandResult:
        self._serialized.pop(request.id, None)
        return CommandResult(CommandResultKind.DONE, request)

    def _current_attempt(self, request_id: str, attempt: int) -> CommandResult:
        request = self.get(request_id)
        if request is None:
            return CommandResult(CommandResultKind.UNKNOWN_REQUEST)
        if request.ended:
            return CommandResult(CommandResultKind.ALREADY_ENDED, request)
        if not request.has_active_attempt or request.attempt != attempt:
            return CommandResult(CommandResultKind.STALE, request)
        return self._mark_changed(request)

    def _end(self, request: Request, state: RequestState, wall_ms: int, reason: str = "") -> None:
        if state is not RequestState.FINISHED:
            request.stage = request.reached_stage()
        request.state = state
        request.reason = reason
        request.ended_wall_ms = wall_ms
        request.placements = ()
        self.payload_bytes[request.spec.team] -= len(request.spec.payload)
        request.spec = replace(request.spec, payload="")
        del self._open[request.id]
        self._ended[request.id] = _serialize(request)

    def _remove(self, request: Request) -> None:
        del self._ended[request.id]
        if request.spec.key:
            self._by_key.pop((request.spec.team, request.spec.key), None)


def _serialize(request: Request) -> bytes:
    data: bytes = request_to_pb(request).SerializeToString()
    return data


def _deserialize(serialized: bytes) -> Request:
    return request_from_pb(pb.StoredRequest.FromString(serialized))


def _placements(messages: Iterable[pb.Placement]) -> tuple[Placement, ...]:
    return tuple(placement_from_pb(message) for message in messages)


def _update_progress(request: Request, progress: float, checkpoint_step: int) -> None:
    request.progress = max(request.progress, progress)
    request.checkpoint_step = max(request.checkpoint_step, checkpoint_step)


def _combine_run_certainty(before: RunCertainty, now: RunCertainty) -> RunCertainty:
    """Combine two attempts: a certain run takes precedence over a possible one."""
    if RunCertainty.RAN in (before, now):
        return RunCertainty.RAN
    if RunCertainty.MAY_HAVE_RUN in (before, now):
        return RunCertainty.MAY_HAVE_RUN
    return RunCertainty.NOT_RUN


def _is_final(request: Request, command: pb.AttemptFailed) -> bool:
    if command.reason == REASON_DEADLINE:
        return True
    if not request.spec.idempotent and command.run != RunCertainty.NOT_RUN:
        return True
    return request.failures >= request.spec.max_attempts
