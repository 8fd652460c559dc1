"""Measure how the time of one decision step grows with the size of the zone.

At size 1 the zone has 610 workers with 720 accelerators in all, 10,000 running tasks and 49 teams.
At each size the scheduler gets new requests, ends, cancellations and ticks in a steady state.
"""

import random
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass, replace

from agateferry_core.demand import Adjacency, Assignment, Demand, Shape, Urgency, Worker
from agateferry_scheduling.scheduler.messages import (
    Decision,
    EndReason,
    PendingRequest,
    Preempt,
    RequestEnded,
    RequestQueued,
    RequestRunning,
    SchedulerEvent,
    Start,
    Team,
    TeamsChanged,
    Tick,
    WorkerJoined,
)
from agateferry_scheduling.scheduler.scheduler import FairScheduler

BASE_WORKERS = 610
BASE_ACCELERATOR_WORKERS = 90
BASE_RUNNING = 10_000
TEAMS = 49
BASE_WAITING = 300
EVENT_INTERVAL_MS = 100


@dataclass(frozen=True, slots=True)
class StepTimes:
    """The times of the steps at one size, in microseconds of real time.

    `p99_cpu_us` is the 99th percentile of the thread's processor time, which other processes on a
    busy machine do not lengthen.
    """

    workers: int
    running: int
    steps: int
    median_us: int
    p99_us: int
    worst_us: int
    p99_cpu_us: int
    mean_cpu_us: int


def measure_steps(size: float, steps: int, seed: int = 1) -> StepTimes:
    """Run so many steps in a zone of `size` times the planned size and return their times."""
    return _SteadyZone(size, random.Random(seed)).run(steps)


def measure_memory(size: float, seed: int = 1) -> int:
    """Return the memory in bytes of the state of a zone of `size` times the planned size."""
    tracemalloc.start()
    zone = _SteadyZone(size, random.Random(seed))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del zone
    return used


class _SteadyZone:
    """A scheduler and its zone in a steady state, where new requests replace those that end."""

    def __init__(self, size: float, rng: random.Random) -> None:
        self._rng = rng
        self._size = size
        self._scheduler = FairScheduler("z")
        self._request_count = 0
        self._now_ms = 0
        self._running: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._create_steady_state()

    def run(self, steps: int) -> StepTimes:
        """Pass events to the scheduler one by one and time each step."""
        times, cpu_times = [], []
        for event in self._events(steps):
            before, cpu_before = time.perf_counter_ns(), time.thread_time_ns()
            decisions = self._scheduler.step(event, self._now_ms)
            cpu_times.append((time.thread_time_ns() - cpu_before) // 1_000)
            times.append((time.perf_counter_ns() - before) // 1_000)
            self._execute(decisions)
        times.sort()
        cpu_times.sort()
        p99_index = int(0.99 * (len(times) - 1))
        workers = len(self._scheduler.zone.topology.workers)
        median = times[len(times) // 2]
        return StepTimes(
            workers,
            len(self._running),
            len(times),
            median,
            times[p99_index],
            times[-1],
            cpu_times[p99_index],
            sum(cpu_times) // len(cpu_times),
        )

    def _events(self, steps: int) -> Iterator[SchedulerEvent]:
        for number in range(steps):
            self._now_ms += EVENT_INTERVAL_MS
            if number % 10 == 0:
                yield Tick()
            elif number % 2 and self._running:
                request_id = self._remove_running(
                    self._running[self._rng.randrange(len(self._running))]
                )
                cancelled = self._rng.random() < 0.55
                reason = EndReason.CANCELLED if cancelled else EndReason.FINISHED
                yield RequestEnded(request_id, reason, self._rng.randint(1_000, 3_600_000))
            else:
                yield RequestQueued(self._request())

    def _create_steady_state(self) -> None:
        step = self._scheduler.step
        workers = [self._worker(number) for number in range(int(BASE_WORKERS * self._size))]
        for worker in workers:
            step(WorkerJoined(worker), 0)
        step(TeamsChanged(tuple(self._team(number) for number in range(TEAMS))), 0)
        small = Demand(1, 0, 1, 500)
        for number in range(int(BASE_RUNNING * self._size)):
            worker = workers[number % len(workers)]
            request = replace(self._request(), demand=small, urgency=Urgency.NORMAL)
            self._add_running(request.request_id)
            step(RequestRunning(request, (Assignment(0, worker.name, 0),), 0), 0)
        for _ in range(int(BASE_WAITING * self._size)):
            self._execute(step(RequestQueued(self._request()), 0))

    def _worker(self, number: int) -> Worker:
        accelerators = 8 if number % BASE_WORKERS < BASE_ACCELERATOR_WORKERS else 0
        return Worker(f"w{number}", "z", f"r{number // 8}", accelerators, 32, 128_000, 18)

    def _team(self, number: int) -> Team:
        shapes = (Shape(8, Adjacency.WORKER, max(int(self._size), 1)),)
        return Team(f"t{number}", shapes, 1.0, 10_000)

    def _request(self) -> PendingRequest:
        self._request_count += 1
        draw = self._rng.random()
        demand, urgency = Demand(1, 0, 1, 500), Urgency.NORMAL
        if draw < 0.1:
            demand, urgency = Demand(1, 0, 1, 500), Urgency.URGENT
        elif draw < 0.3:
            demand = Demand(1, self._rng.choice((1, 2, 4, 8)), 2, 1_000)
        elif draw < 0.31:
            demand, urgency = Demand(8, 8, 8, 1_000, Adjacency.RACK), Urgency.LONG
        elif draw < 0.312:
            demand, urgency = Demand(64, 1, 1, 1_000), Urgency.LONG
        team = f"t{self._rng.randrange(TEAMS)}"
        job = f"j{self._rng.randrange(3)}"
        run_ms = self._rng.randint(10_000, 3_600_000)
        request_id = f"q{self._request_count}"
        return PendingRequest(
            request_id, team, job, urgency, demand, run_ms, self._now_ms, checkpointable=True
        )

    def _execute(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._add_running(decision.request_id)
            elif isinstance(decision, Preempt):
                self._preempt(decision.request_id)

    def _preempt(self, request_id: str) -> None:
        if request_id not in self._index_by_id:
            return
        allocation = self._scheduler.zone.topology.allocations[request_id]
        self._remove_running(request_id)
        ended = RequestEnded(request_id, EndReason.PREEMPTED, 1_000)
        decisions = self._scheduler.step(ended, self._now_ms)
        decisions += self._scheduler.step(RequestQueued(allocation.request), self._now_ms)
        self._execute(decisions)

    def _add_running(self, request_id: str) -> None:
        self._index_by_id[request_id] = len(self._running)
        self._running.append(request_id)

    def _remove_running(self, request_id: str) -> str:
        index = self._index_by_id.pop(request_id)
        last = self._running.pop()
        if last != request_id:
            self._running[index] = last
            self._index_by_id[last] = index
        return request_id
