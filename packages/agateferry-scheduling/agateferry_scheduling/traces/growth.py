"""Measure how the time of one decision step grows with the size of the zone.

At size 1 the zone has 610 workers with 720 accelerators among them, 10,000 running tasks and 49
teams. Each size is driven by ends, cancellations, new requests and ticks in a steady state.
"""

import random
import time
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

WORKERS = 610
ACCELERATOR_WORKERS = 90
RUNNING = 10_000
TEAMS = 49
WAITING = 300
STEP_MS = 100


@dataclass(frozen=True, slots=True)
class StepTimes:
    """Step times at one size, in microseconds by the wall clock.

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


def measure_steps(size: float, steps: int, seed: int = 1) -> StepTimes:
    """Drive a zone of this many times the planned size for so many steps."""
    return _Load(size, random.Random(seed)).run(steps)


class _Load:
    """A zone in a steady state: what ends is followed by what comes."""

    def __init__(self, size: float, rng: random.Random) -> None:
        self._rng = rng
        self._size = size
        self._scheduler = FairScheduler("z")
        self._number = 0
        self._now_ms = 0
        self._running: list[str] = []
        self._place: dict[str, int] = {}
        self._fill()

    def run(self, steps: int) -> StepTimes:
        """Take events one by one and time each step."""
        times, cpu_times = [], []
        for event in self._events(steps):
            before, cpu_before = time.perf_counter_ns(), time.thread_time_ns()
            decisions = self._scheduler.step(event, self._now_ms)
            cpu_times.append((time.thread_time_ns() - cpu_before) // 1_000)
            times.append((time.perf_counter_ns() - before) // 1_000)
            self._carry_out(decisions)
        times.sort()
        cpu_times.sort()
        at = int(0.99 * (len(times) - 1))
        workers = len(self._scheduler.zone.topology.workers)
        median = times[len(times) // 2]
        return StepTimes(
            workers, len(self._running), len(times), median, times[at], times[-1], cpu_times[at]
        )

    def _events(self, steps: int) -> Iterator[SchedulerEvent]:
        for number in range(steps):
            self._now_ms += STEP_MS
            if number % 10 == 0:
                yield Tick()
            elif number % 2 and self._running:
                request_id = self._forget(self._running[self._rng.randrange(len(self._running))])
                cancelled = self._rng.random() < 0.55
                reason = EndReason.CANCELLED if cancelled else EndReason.FINISHED
                yield RequestEnded(request_id, reason, self._rng.randint(1_000, 3_600_000))
            else:
                yield RequestQueued(self._request())

    def _fill(self) -> None:
        step = self._scheduler.step
        workers = [self._worker(number) for number in range(int(WORKERS * self._size))]
        for worker in workers:
            step(WorkerJoined(worker), 0)
        step(TeamsChanged(tuple(self._team(number) for number in range(TEAMS))), 0)
        small = Demand(1, 0, 1, 500)
        for number in range(int(RUNNING * self._size)):
            worker = workers[number % len(workers)]
            request = replace(self._request(), demand=small, urgency=Urgency.NORMAL)
            self._remember_id(request.request_id)
            step(RequestRunning(request, (Assignment(0, worker.name, 0),), 0), 0)
        for _ in range(int(WAITING * self._size)):
            self._carry_out(step(RequestQueued(self._request()), 0))

    def _worker(self, number: int) -> Worker:
        accelerators = 8 if number % WORKERS < ACCELERATOR_WORKERS else 0
        return Worker(f"w{number}", "z", f"r{number // 8}", accelerators, 32, 128_000, 18)

    def _team(self, number: int) -> Team:
        shapes = (Shape(8, Adjacency.WORKER, max(int(self._size), 1)),)
        return Team(f"t{number}", shapes, 1.0, 10_000)

    def _request(self) -> PendingRequest:
        self._number += 1
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
        request_id = f"q{self._number}"
        return PendingRequest(
            request_id, team, job, urgency, demand, run_ms, self._now_ms, checkpointable=True
        )

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._remember_id(decision.request_id)
            elif isinstance(decision, Preempt):
                self._preempt(decision.request_id)

    def _preempt(self, request_id: str) -> None:
        if request_id not in self._place:
            return
        allocation = self._scheduler.zone.topology.allocations[request_id]
        self._forget(request_id)
        ended = RequestEnded(request_id, EndReason.PREEMPTED, 1_000)
        decisions = self._scheduler.step(ended, self._now_ms)
        decisions += self._scheduler.step(RequestQueued(allocation.request), self._now_ms)
        self._carry_out(decisions)

    def _remember_id(self, request_id: str) -> None:
        self._place[request_id] = len(self._running)
        self._running.append(request_id)

    def _forget(self, request_id: str) -> str:
        place = self._place.pop(request_id)
        last = self._running.pop()
        if last != request_id:
            self._running[place] = last
            self._place[last] = place
        return request_id
