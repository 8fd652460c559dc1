"""The lease table of a worker, as a state machine without I/O.

Every call is idempotent for the same lease. The table has no timer: each call reads the clock, and
`next_due_ms` returns when `advance` has to be called next. All times are in ms of that clock.
"""

from dataclasses import replace

from expression import Error, Ok, Result

from agateferry_core.clock import Clock
from agateferry_standins.worker.messages import (
    CHECKPOINT_STEPS,
    Lease,
    LeaseRequest,
    LeaseState,
    Refusal,
    Task,
    WorkerCapacity,
)
from agateferry_standins.worker.start_log import StartLog

MAX_RELEASED_LEASES = 100_000

LeaseResult = Result[Lease, Refusal]


class LeaseTable:
    """Hold the leases of one worker within its capacity.

    All tasks run at the factor `speed`. While `failing` is set, each task that starts fails at its
    end.
    """

    def __init__(self, capacity: WorkerCapacity, clock: Clock, log: StartLog) -> None:
        self.capacity = capacity
        self.leaving = False
        self.speed = 1.0
        self.failing = False
        self.started_count = 0
        self._clock = clock
        self._log = log
        self._leases: dict[str, Lease] = {}
        self._released: dict[str, Lease] = {}
        self._changed_leases: list[Lease] = []

    def reserve(self, request: LeaseRequest, ttl_ms: int) -> LeaseResult:
        """Reserve capacity for a lease for `ttl_ms`, within which it has to be started."""
        lease = self._find(request.lease)
        if lease is not None:
            return Ok(lease)
        return self._admit(request).map(lambda lease: self._set_reservation_expiry(lease, ttl_ms))

    def start(
        self,
        request: LeaseRequest,
        task: Task,
        checkpoint_step: int | None = None,
        deadline_ms: int | None = None,
    ) -> LeaseResult:
        """Start the task of a lease, from a checkpoint if one is given.

        A member of a gang must have been reserved; a single task can start without a reservation.
        `deadline_ms` is the time from now after which the task is stopped.
        """
        lease = self._find(request.lease)
        if lease is not None and lease.state is not LeaseState.RESERVED:
            return Ok(lease)
        if lease is None and request.members > 1:
            return Error(Refusal.NO_CAPACITY)
        if lease is None:
            return self._admit(request).map(
                lambda lease: self._start_task(lease, request, task, checkpoint_step, deadline_ms)
            )
        return Ok(self._start_task(lease, request, task, checkpoint_step, deadline_ms))

    def get(self, lease_id: str) -> LeaseResult:
        """Return a lease, or `UNKNOWN_LEASE` if it does not exist or was released."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return Error(Refusal.UNKNOWN_LEASE)
        self._update(lease)
        return Ok(lease)

    def checkpoint(self, lease_id: str) -> LeaseResult:
        """Record a checkpoint of a running task: the last step that it completed."""
        return self.get(lease_id).map(self._checkpoint)

    def throttle(self, lease_id: str, share: float) -> LeaseResult:
        """Run a task at a share of its full speed, 0 to 1."""
        return self.get(lease_id).map(lambda lease: self._throttle(lease, share))

    def stop(self, lease_id: str) -> Lease:
        """Stop a lease unless it has ended.

        An unknown lease is recorded as stopped, so that a delayed start has no effect.
        """
        lease = self._find(lease_id)
        if lease is None:
            lease = Lease(LeaseRequest(lease_id, "", 0, 0), LeaseState.STOPPED)
            self._leases[lease_id] = lease
        if not lease.final:
            self._stop(lease)
        return lease

    def release(self, lease_id: str) -> None:
        """Drop a lease and its answer; its id is kept so that a delayed start has no effect.

        The last `MAX_RELEASED_LEASES` ids are kept.
        """
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        if not lease.final:
            self._stop(lease)
        self._released[lease_id] = replace(lease, state=LeaseState.STOPPED, task=Task(0, ""))
        while len(self._released) > MAX_RELEASED_LEASES:
            del self._released[next(iter(self._released))]

    def advance(self) -> list[Lease]:
        """Update every lease to the current time.

        Return the leases that expired or whose task ended since the last call of `advance`, also
        those that another call has already updated.
        """
        self._update_all()
        changed, self._changed_leases = self._changed_leases, []
        return changed

    def next_due_ms(self) -> int | None:
        """Return when the next reservation or deadline expires or task ends, or None."""
        times = [t for lease in self._leases.values() for t in self._due_times(lease)]
        return min(times, default=None)

    def leases(self) -> list[Lease]:
        """Return all leases that have not been released."""
        return list(self._leases.values())

    def slots_used(self) -> int:
        """Return the number of slots in use, one for each lease that has not ended."""
        return sum(1 for lease in self._leases.values() if not lease.final)

    def accelerators_used(self) -> int:
        """Return the number of accelerators in use."""
        return self._used("accelerators")

    def _find(self, lease_id: str) -> Lease | None:
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._update(lease)
            lease = self._leases.get(lease_id)
        return lease or self._released.get(lease_id)

    def _admit(self, request: LeaseRequest) -> LeaseResult:
        if self.leaving:
            self._log.record_violation("asked-while-leaving")
            return Error(Refusal.LEAVING)
        self._update_all()
        fits = (
            self.slots_used() < self.capacity.slots
            and self._used("accelerators") + request.accelerators <= self.capacity.accelerators
            and self._used("cpu_cores") + request.cpu_cores <= self.capacity.cpu_cores
            and self._used("memory_mb") + request.memory_mb <= self.capacity.memory_mb
        )
        if not fits:
            self._log.record_violation("over-capacity")
            return Error(Refusal.NO_CAPACITY)
        lease = Lease(request, LeaseState.RESERVED, progress_updated_ms=self._clock.now_ms())
        self._leases[request.lease] = lease
        self._log.record_lease(request)
        return Ok(lease)

    def _used(self, resource: str) -> int:
        return sum(
            getattr(lease.request, resource) for lease in self._leases.values() if not lease.final
        )

    def _set_reservation_expiry(self, lease: Lease, ttl_ms: int) -> Lease:
        lease.reservation_expires_ms = self._clock.now_ms() + ttl_ms
        return lease

    def _start_task(
        self,
        lease: Lease,
        request: LeaseRequest,
        task: Task,
        checkpoint_step: int | None,
        deadline_ms: int | None,
    ) -> Lease:
        now_ms = self._clock.now_ms()
        lease.request = request
        lease.state = LeaseState.RUNNING
        lease.reservation_expires_ms = None
        lease.task = replace(task, fail=task.fail or self.failing)
        lease.progress_updated_ms = now_ms
        lease.checkpoint_step = checkpoint_step
        lease.done_ms = task.run_ms * (checkpoint_step or 0) / CHECKPOINT_STEPS
        lease.deadline_ms = None if deadline_ms is None else now_ms + deadline_ms
        self.started_count += 1
        self._log.record_start(request, task.key)
        return lease

    def _update_all(self) -> None:
        for lease in list(self._leases.values()):
            self._update(lease)

    def _update(self, lease: Lease) -> None:
        """Update one lease to the current time."""
        now_ms = self._clock.now_ms()
        if lease.state is LeaseState.RESERVED:
            self._expire_reservation(lease, now_ms)
        if lease.state is not LeaseState.RUNNING:
            return
        lease.done_ms += (now_ms - lease.progress_updated_ms) * self._rate(lease)
        lease.progress_updated_ms = now_ms
        if lease.done_ms >= lease.task.run_ms:
            self._end_task(lease)
        elif lease.deadline_ms is not None and now_ms >= lease.deadline_ms:
            lease.state = LeaseState.STOPPED
        if lease.final:
            self._changed_leases.append(lease)

    def _expire_reservation(self, lease: Lease, now_ms: int) -> None:
        if lease.reservation_expires_ms is None or now_ms < lease.reservation_expires_ms:
            return
        del self._leases[lease.request.lease]
        self._log.record_reservation_end(lease.request)
        self._changed_leases.append(lease)

    def _end_task(self, lease: Lease) -> None:
        if lease.task.fail:
            lease.state = LeaseState.FAILED
            lease.error = "simulated failure of the task"
            return
        lease.state = LeaseState.FINISHED
        self._log.record_finish(lease.request, lease.task.key)

    def _stop(self, lease: Lease) -> None:
        if lease.state is LeaseState.RESERVED:
            self._log.record_reservation_end(lease.request)
        lease.state = LeaseState.STOPPED

    def _checkpoint(self, lease: Lease) -> Lease:
        if lease.state is LeaseState.RUNNING:
            lease.checkpoint_step = int(lease.progress() * CHECKPOINT_STEPS)
        return lease

    def _throttle(self, lease: Lease, share: float) -> Lease:
        lease.speed_share = min(1.0, max(0.0, share))
        return lease

    def _rate(self, lease: Lease) -> float:
        return lease.speed_share * self.speed

    def _due_times(self, lease: Lease) -> list[int]:
        if lease.state is LeaseState.RESERVED and lease.reservation_expires_ms is not None:
            return [lease.reservation_expires_ms]
        if lease.state is not LeaseState.RUNNING:
            return []
        times = [] if lease.deadline_ms is None else [lease.deadline_ms]
        rate = self._rate(lease)
        if rate > 0:
            left_ms = (lease.task.run_ms - lease.done_ms) / rate
            times.append(lease.progress_updated_ms + max(0, int(left_ms + 0.999)))
        return times
