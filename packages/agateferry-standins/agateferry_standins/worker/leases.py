"""The lease table of a worker, as a state machine without I/O.

Each call can be repeated with the same lease and has no second effect. Time comes in with each
call; `next_due_ms` tells when `advance` has something to do.
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
    WorkerSize,
)
from agateferry_standins.worker.start_log import StartLog

REMEMBERED_RELEASES = 100_000

Outcome = Result[Lease, Refusal]


class LeaseTable:
    """Keep the leases of one worker within its size."""

    def __init__(self, size: WorkerSize, clock: Clock, log: StartLog) -> None:
        self.size = size
        self.leaving = False
        self.speed = 1.0
        self.failing = False
        self.started = 0
        self._clock = clock
        self._log = log
        self._leases: dict[str, Lease] = {}
        self._released: dict[str, Lease] = {}
        self._changed: list[Lease] = []

    def reserve(self, asked: LeaseRequest, ttl_ms: int) -> Outcome:
        """Hold capacity for a lease; it lapses after `ttl_ms` unless it is started."""
        known = self._known(asked.lease)
        if known is not None:
            return Ok(known)
        return self._admit(asked).map(lambda lease: self._hold(lease, ttl_ms))

    def start(
        self,
        asked: LeaseRequest,
        task: Task,
        checkpoint_step: int | None = None,
        deadline_ms: int | None = None,
    ) -> Outcome:
        """Run the task of a lease, from a checkpoint if one is given.

        A gang's member needs its reservation; a single task can be started without one.
        """
        known = self._known(asked.lease)
        if known is not None and known.state is not LeaseState.RESERVED:
            return Ok(known)
        if known is None and asked.members > 1:
            return Error(Refusal.NO_CAPACITY)
        if known is None:
            return self._admit(asked).map(
                lambda lease: self._run(lease, asked, task, checkpoint_step, deadline_ms)
            )
        return Ok(self._run(known, asked, task, checkpoint_step, deadline_ms))

    def get(self, lease_id: str) -> Outcome:
        """Return a lease that has not been released."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return Error(Refusal.UNKNOWN_LEASE)
        self._work(lease)
        return Ok(lease)

    def checkpoint(self, lease_id: str) -> Outcome:
        """Store how far a running task has got."""
        return self.get(lease_id).map(self._checkpoint)

    def throttle(self, lease_id: str, share: float) -> Outcome:
        """Let a task run at a share of its speed, 0 to 1."""
        return self.get(lease_id).map(lambda lease: self._throttle(lease, share))

    def stop(self, lease_id: str) -> Lease:
        """End a lease unless it has ended; a lease not known yet can never start afterwards."""
        lease = self._known(lease_id)
        if lease is None:
            lease = Lease(LeaseRequest(lease_id, "", 0, 0), LeaseState.STOPPED)
            self._leases[lease_id] = lease
        if not lease.final:
            self._stop(lease)
        return lease

    def release(self, lease_id: str) -> None:
        """Forget a result; the lease itself is remembered so that a late start has no effect."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        if not lease.final:
            self._stop(lease)
        self._released[lease_id] = replace(lease, state=LeaseState.STOPPED, task=Task(0, ""))
        while len(self._released) > REMEMBERED_RELEASES:
            del self._released[next(iter(self._released))]

    def advance(self) -> list[Lease]:
        """Bring every lease up to the present.

        Return the leases that lapsed or ended by themselves since the last call, also when another
        call has already seen them do so.
        """
        self._work_all()
        changed, self._changed = self._changed, []
        return changed

    def next_due_ms(self) -> int | None:
        """Return when the next lease lapses, ends or passes its deadline."""
        times = [t for lease in self._leases.values() for t in self._times(lease)]
        return min(times, default=None)

    def leases(self) -> list[Lease]:
        """Return the leases that are held or not yet released."""
        return list(self._leases.values())

    def slots_used(self) -> int:
        """Return how many slots are held."""
        return sum(1 for lease in self._leases.values() if not lease.final)

    def accelerators_used(self) -> int:
        """Return how many accelerators are held."""
        return self._used("accelerators")

    def _known(self, lease_id: str) -> Lease | None:
        lease = self._leases.get(lease_id)
        if lease is not None:
            self._work(lease)
            lease = self._leases.get(lease_id)
        return lease or self._released.get(lease_id)

    def _admit(self, asked: LeaseRequest) -> Outcome:
        if self.leaving:
            self._log.violated("asked-while-leaving")
            return Error(Refusal.LEAVING)
        self._work_all()
        fits = (
            self.slots_used() < self.size.slots
            and self._used("accelerators") + asked.accelerators <= self.size.accelerators
            and self._used("cpu_cores") + asked.cpu_cores <= self.size.cpu_cores
            and self._used("memory_mb") + asked.memory_mb <= self.size.memory_mb
        )
        if not fits:
            self._log.violated("over-capacity")
            return Error(Refusal.NO_CAPACITY)
        lease = Lease(asked, LeaseState.RESERVED, anchor_ms=self._clock.now_ms())
        self._leases[asked.lease] = lease
        self._log.held(asked)
        return Ok(lease)

    def _used(self, what: str) -> int:
        return sum(getattr(x.asked, what) for x in self._leases.values() if not x.final)

    def _hold(self, lease: Lease, ttl_ms: int) -> Lease:
        lease.lapses_ms = self._clock.now_ms() + ttl_ms
        return lease

    def _run(
        self,
        lease: Lease,
        asked: LeaseRequest,
        task: Task,
        checkpoint_step: int | None,
        deadline_ms: int | None,
    ) -> Lease:
        now_ms = self._clock.now_ms()
        lease.asked = asked
        lease.state = LeaseState.RUNNING
        lease.lapses_ms = None
        lease.task = replace(task, fail=task.fail or self.failing)
        lease.anchor_ms = now_ms
        lease.checkpoint_step = checkpoint_step
        lease.done_ms = task.run_ms * (checkpoint_step or 0) / CHECKPOINT_STEPS
        lease.deadline_ms = None if deadline_ms is None else now_ms + deadline_ms
        self.started += 1
        self._log.started(asked, task.key)
        return lease

    def _work_all(self) -> None:
        for lease in list(self._leases.values()):
            self._work(lease)

    def _work(self, lease: Lease) -> None:
        """Bring one lease up to the present."""
        now_ms = self._clock.now_ms()
        if lease.state is LeaseState.RESERVED:
            self._lapse(lease, now_ms)
        if lease.state is not LeaseState.RUNNING:
            return
        lease.done_ms += (now_ms - lease.anchor_ms) * self._rate(lease)
        lease.anchor_ms = now_ms
        if lease.done_ms >= lease.task.run_ms:
            self._end(lease)
        elif lease.deadline_ms is not None and now_ms >= lease.deadline_ms:
            lease.state = LeaseState.STOPPED
        if lease.final:
            self._changed.append(lease)

    def _lapse(self, lease: Lease, now_ms: int) -> None:
        if lease.lapses_ms is None or now_ms < lease.lapses_ms:
            return
        del self._leases[lease.asked.lease]
        self._log.let_go(lease.asked)
        self._changed.append(lease)

    def _end(self, lease: Lease) -> None:
        if lease.task.fail:
            lease.state = LeaseState.FAILED
            lease.error = "the task was told to fail"
            return
        lease.state = LeaseState.FINISHED
        self._log.finished(lease.asked, lease.task.key)

    def _stop(self, lease: Lease) -> None:
        if lease.state is LeaseState.RESERVED:
            self._log.let_go(lease.asked)
        lease.state = LeaseState.STOPPED

    def _checkpoint(self, lease: Lease) -> Lease:
        if lease.state is LeaseState.RUNNING:
            lease.checkpoint_step = int(lease.progress() * CHECKPOINT_STEPS)
        return lease

    def _throttle(self, lease: Lease, share: float) -> Lease:
        lease.share = min(1.0, max(0.0, share))
        return lease

    def _rate(self, lease: Lease) -> float:
        return lease.share * self.speed

    def _times(self, lease: Lease) -> list[int]:
        if lease.state is LeaseState.RESERVED and lease.lapses_ms is not None:
            return [lease.lapses_ms]
        if lease.state is not LeaseState.RUNNING:
            return []
        times = [] if lease.deadline_ms is None else [lease.deadline_ms]
        rate = self._rate(lease)
        if rate > 0:
            left_ms = (lease.task.run_ms - lease.done_ms) / rate
            times.append(lease.anchor_ms + max(0, int(left_ms + 0.999)))
        return times
