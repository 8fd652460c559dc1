"""Random fleets under load with a job that waits, to look for jobs that are kept idle.

A scenario depends on its seed and number alone:

    scenario = IdleScenario(seed=1, number=17)
    scenario.play_to_end()
    print(scenario.watch.found)
"""

import math
import random
from collections.abc import Callable, Sequence

import msgspec

from agateferry_jobs.ledger import WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import RunEnded, RunOutcome
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.support.builders import (
    WORKER_CAPACITY,
    job_command,
    manifest,
    start_of,
    worker,
)
from agateferry_jobs.support.idle_watch import IdleWatch
from agateferry_jobs.support.planning_play import PLAN_INTERVAL_MS, START_MS, PlanningPlay
from agateferry_jobs.workers.contact import REPORT_WAIT_MS

DEFAULT_DURATION_MS = 8_000
"""How long a scenario lasts at most; it ends earlier once no job is idle that might run."""
MIN_DURATION_MS = 2_000
"""How long a scenario lasts at least while jobs wait, since runs that end may make room."""
STOP_DELAYS_MS = (PLAN_INTERVAL_MS, 400)
WORKERS = (6, 80)
MAX_RACKS = 8
MAX_ZONES = 3
MISSING_RACK = "missing"
SPECIAL_LABEL = "special"
PROBE = "probe"
GUARANTEED_TEAM, BORROWING_TEAM = "team", "other"
QUEUES = ((3.0, 1_000), (1.5, 250), (3.0, 30_000))
"""The stretch and the target in ms of the queue's objective."""
LONG_DECLARED_MS = (2_500, 8_500, 30_000)
DECLARED_MS = (100, 1_000, *LONG_DECLARED_MS)
PACES = (0.6, 1.0, 1.0, 1.7)
MAX_LOAD = 0.48
"""The largest share of the fleet's accelerators that runs when a scenario begins."""
MAX_AGE_MS = 30_000
"""How long before the scenario jobs may have been submitted, and runs have started."""
LAST_CHANGE_MS = 2_500


class IdleScenario:
    """One play, and the watch that observes it."""

    def __init__(self, seed: int, number: int) -> None:
        self.name = f"seed {seed}, scenario {number}"
        rng = random.Random(f"{seed}/{number}")
        stretch, target_ms = rng.choice(QUEUES)
        in_force = manifest(stretch=stretch, target_ms=target_ms)
        self.play = PlanningPlay(in_force, rng.choice(STOP_DELAYS_MS))
        self.watch = IdleWatch(self.play)
        fleet = RandomFleet(self.play, rng)
        jobs = RandomJobs(self.play, rng, fleet)
        jobs.start_load()
        fleet.disturb()
        jobs.submit_waiting()

    def play_to_end(self, duration_ms: int = DEFAULT_DURATION_MS) -> None:
        """Play for `duration_ms` at most, and for `MIN_DURATION_MS` while a job waits at all."""
        while self.play.now_ms < START_MS + duration_ms:
            self.play.step()
            self.watch.observe()
            if self._is_settled():
                break
            self.play.advance()

    def _is_settled(self) -> bool:
        """Return whether nothing is to come, and no job is idle that might run."""
        if self.play.pending_changes or self.watch.idle_jobs():
            return False
        return not self.watch.has_waiting or self.play.now_ms >= START_MS + MIN_DURATION_MS


class RandomFleet:
    """Workers in racks and zones, of which some are of no use or of little."""

    def __init__(self, play: PlanningPlay, rng: random.Random) -> None:
        self._play = play
        self._rng = rng
        low, high = (math.log(bound) for bound in WORKERS)
        self.size = round(math.exp(rng.uniform(low, high)))
        self.racks = [f"r{number}" for number in range(rng.randint(1, min(MAX_RACKS, self.size)))]
        self._zones = [f"zone-{number}" for number in range(rng.randint(1, MAX_ZONES))]
        self._has_special = rng.random() < 0.3
        self.workers = [self._new_worker(number) for number in range(self.size)]
        play.add(*self.workers)

    def disturb(self) -> None:
        """Make some of the workers useless, for now or for the whole scenario."""
        rng = self._rng
        self._silence()
        if rng.random() < 0.2:
            self._drain(self.some(0.3))
        if rng.random() < 0.15 and len(self._zones) > 1:
            self._play.apply(commands.EvacuateZone(rng.choice(self._zones), START_MS))
        if rng.random() < 0.25:
            self._shrink(self.some(0.4))
        for flags in (
            {"is_suspect": True},
            {"is_cold": True},
            {"has_recent_report": False},
            {"accepts_starts": False},
        ):
            if rng.random() < 0.15:
                self._mark(self.some(0.5), **flags)
        if rng.random() < 0.15:
            self._await_reports(self.some(0.5))
        if rng.random() < 0.1:
            self._play.refusing.update(each.id for each in self.some(0.4))
        if rng.random() < 0.3:
            self._play.paces = {(each.id, each.born): rng.choice(PACES) for each in self.workers}

    def of_rack(self, rack: str) -> list[WorkerIncarnation]:
        """Return the workers of a rack."""
        return [each for each in self.workers if each.rack == rack]

    def some(self, most: float) -> list[WorkerIncarnation]:
        """Return random workers, up to a share of them."""
        return self._rng.sample(self.workers, round(self.size * self._rng.uniform(0, most)))

    @property
    def silent_racks(self) -> list[str]:
        """Return the racks of which no worker answers."""
        health = self._play.health
        return [
            rack
            for rack in self.racks
            if not any(health[each.id].answers for each in self.of_rack(rack))
        ]

    @property
    def answering(self) -> int:
        """Return how many workers answer."""
        return sum(self._play.health[each.id].answers for each in self.workers)

    @property
    def largest_answering_rack(self) -> int:
        """Return how many workers answer in the rack in which most do."""
        health = self._play.health
        return max(
            sum(health[each.id].answers for each in self.of_rack(rack)) for rack in self.racks
        )

    def _new_worker(self, number: int) -> WorkerIncarnation:
        place = number % len(self.racks)
        rack, zone = self.racks[place], self._zones[place % len(self._zones)]
        incarnation = worker(f"w{number}", rack, zone=zone)
        if self._has_special and self._rng.random() < 0.4:
            incarnation.labels = (*incarnation.labels, SPECIAL_LABEL)
        return incarnation

    def _silence(self) -> None:
        """Let workers not answer: none, a few, many, or those of whole racks."""
        rng = self._rng
        kind = rng.choice(("none", "few", "many", "racks"))
        silent: list[WorkerIncarnation] = []
        if kind == "few":
            silent = self.some(0.15)
        if kind == "many":
            silent = self.some(0.8)
        if kind == "racks":
            racks = rng.sample(self.racks, rng.randint(0, len(self.racks) - 1))
            silent = [each for rack in racks for each in self.of_rack(rack)]
        self._mark(silent, answers=False)
        if silent and rng.random() < 0.3:
            back_ms = START_MS + rng.randint(0, LAST_CHANGE_MS)
            back = rng.sample(silent, rng.randint(1, len(silent)))
            self._play.at(back_ms, lambda: self._mark(back, answers=True))
        if rng.random() < 0.2:
            lost_ms, lost = START_MS + rng.randint(0, LAST_CHANGE_MS), self.some(0.4)
            self._play.at(lost_ms, lambda: self._mark(lost, answers=False))

    def _mark(self, workers: Sequence[WorkerIncarnation], **flags: bool) -> None:
        for each in workers:
            self._play.set_health(each.id, **flags)

    def _await_reports(self, workers: Sequence[WorkerIncarnation]) -> None:
        """Let workers have answered just now, and not report before it is no more awaited."""
        self._mark(workers, has_recent_report=False, reports_soon=True)
        until_ms = START_MS + REPORT_WAIT_MS
        self._play.at(until_ms, lambda: self._mark(workers, reports_soon=False))

    def _drain(self, workers: Sequence[WorkerIncarnation]) -> None:
        for each in workers:
            draining = msgspec.structs.replace(each, state=WorkerState.DRAINING)
            self._play.apply(commands.NoteWorker(draining, START_MS))

    def _shrink(self, workers: Sequence[WorkerIncarnation]) -> None:
        share = self._rng.choice((0.0, 0.25, 0.5))
        large = WORKER_CAPACITY
        small = Resources(round(large.cpu * share), large.mem_mb, round(large.gpu * share))
        for each in workers:
            if self._play.ledger.workers[each.id].state is WorkerState.READY:
                self._play.resize(each.id, small)


class RandomJobs:
    """Jobs that run, jobs that wait, and jobs that arrive later."""

    def __init__(self, play: PlanningPlay, rng: random.Random, fleet: RandomFleet) -> None:
        self._play = play
        self._rng = rng
        self._fleet = fleet
        self._count = 0

    def start_load(self) -> None:
        """Start jobs that run when the scenario begins, spread or packed."""
        rng, workers = self._rng, list(self._fleet.workers)
        is_packed = rng.random() < 0.5
        target = rng.uniform(0, MAX_LOAD) * len(workers) * WORKER_CAPACITY.gpu
        if rng.random() < 0.2:
            target = 0
        rng.shuffle(workers)
        sizes = rng.choice(((1,), (1, 2), (1, 2, 4, 8)))
        free = {each.id: each.capacity.gpu for each in workers}
        used = 0
        while used < target:
            gpus = rng.choice(sizes)
            fitting = [id for id, gpu in free.items() if gpu >= gpus]
            if not fitting:
                break
            hosts = self._hosts(fitting, gpus, is_packed)
            self._start_job(hosts, Resources(gpus * 1_000, 200, gpus))
            for id in hosts:
                free[id] -= gpus
            used += gpus * len(hosts)

    def submit_waiting(self) -> None:
        """Submit the jobs that wait when the scenario begins, and schedule those that arrive."""
        if self._rng.random() < 0.5:
            for _ in range(self._rng.randint(1, 3)):
                self._submit_large_gang()
        self._submit_probe()
        if self._rng.random() < 0.35:
            for _ in range(self._rng.randint(1, 4)):
                self._schedule_urgent_job()

    def _next_id(self, kind: str) -> str:
        self._count += 1
        return f"{kind}{self._count}"

    def _submit(
        self, id: str, *steps: StepSpec, priority: int, at_ms: int, **schedule: int
    ) -> None:
        """Submit a job of a random team; its runs take up to twice as long as declared, or half."""
        command = job_command(id, *steps, priority=priority, at_ms=at_ms, **schedule)
        team = self._rng.choice((GUARANTEED_TEAM, BORROWING_TEAM))
        run_ms = round(steps[0].estimated_ms * 2 ** self._rng.uniform(-1, 1))
        self._play.submit(msgspec.structs.replace(command, team=team), run_ms)

    def _past_ms(self) -> int:
        """Return when a job was submitted: just now, or a while ago."""
        is_old = self._rng.random() < 0.3
        return START_MS - (self._rng.randint(0, MAX_AGE_MS) if is_old else 0)

    def _need(self) -> Resources:
        gpus = self._rng.choice((0, 1, 1, 2, 4, 8))
        return Resources(max(1, gpus) * self._rng.choice((500, 1_000, 2_000)), 200, gpus)

    def _hosts(self, fitting: list[str], gpus: int, is_packed: bool) -> list[str]:
        count = min(len(fitting), self._rng.randint(1, 8))
        return fitting[:count] if is_packed else self._rng.sample(fitting, count)

    def _start_job(self, hosts: Sequence[str], need: Resources) -> None:
        """Start a job that runs for long, or as long as jobs usually do."""
        rng, id = self._rng, self._next_id("load")
        is_long = rng.random() < 0.6
        run_ms = rng.randint(60_000, 600_000) if is_long else rng.choice(DECLARED_MS)
        step = StepSpec(len(hosts), need, estimated_ms=run_ms, is_gang=rng.random() < 0.2)
        age_ms = rng.randint(0, min(run_ms, MAX_AGE_MS))
        priority = rng.randint(0, 2)
        self._submit(id, step, priority=priority, at_ms=START_MS - age_ms)
        on = {f"0.0.{number}": host for number, host in enumerate(hosts)}
        self._play.start_on(id, on, age_ms, run_ms)

    def _submit_large_gang(self) -> None:
        """Submit a gang that hardly starts: it exceeds the fleet, a rack, or what is free."""
        rng, fleet = self._rng, self._fleet
        largest_rack = max(len(fleet.of_rack(rack)) for rack in fleet.racks)
        waiting = max(1, round(fleet.answering * rng.uniform(0.4, 1)))
        count = rng.choice((fleet.size + 1, largest_rack + 1, waiting, waiting))
        step = StepSpec(
            count,
            Resources(8_000, 200, 8),
            estimated_ms=rng.choice(LONG_DECLARED_MS),
            is_gang=True,
            same_rack=rng.random() < 0.5,
        )
        priority = rng.randint(0, 2)
        at_ms = START_MS - rng.randint(0, MAX_AGE_MS)
        self._submit(self._next_id("large"), step, priority=priority, at_ms=at_ms)

    def _schedule_urgent_job(self) -> None:
        rng, id = self._rng, self._next_id("urgent")
        is_gang = rng.random() < 0.4
        step = StepSpec(
            rng.randint(1, 4),
            self._need(),
            estimated_ms=rng.choice(DECLARED_MS),
            is_gang=is_gang,
            same_rack=is_gang and rng.random() < 0.6,
        )
        at_ms = START_MS + rng.randint(0, LAST_CHANGE_MS)
        self._play.at(at_ms, lambda: self._submit(id, step, priority=0, at_ms=at_ms))

    def _submit_probe(self) -> None:
        rng = self._rng
        variants: Sequence[Callable[[StepSpec, int], None]] = (
            self._submit_suspect,
            self._submit_second_step,
            self._submit_occurrences,
            self._submit_refused,
        )
        variant = rng.choice(variants) if rng.random() < 0.4 else self._submit_plain
        variant(self._probe_step(), rng.randint(0, 2))

    def _probe_step(self) -> StepSpec:
        rng = self._rng
        is_gang = rng.random() < 0.5
        same_rack = is_gang and rng.random() < 0.6
        places = [rng.choice(self._fleet.racks), MISSING_RACK, *self._fleet.silent_racks]
        return StepSpec(
            self._probe_count(is_gang, same_rack),
            Resources(8_000, 200, 8) if is_gang and rng.random() < 0.5 else self._need(),
            estimated_ms=rng.choice(DECLARED_MS),
            is_gang=is_gang,
            same_rack=same_rack,
            data_rack=rng.choice(places) if not is_gang and rng.random() < 0.5 else "",
            required_label=rng.choice(("", "", "", "kind", SPECIAL_LABEL)),
            max_per_worker=rng.choice((0, 0, 0, 1, 2)),
            is_long_running=not is_gang and rng.random() < 0.1,
        )

    def _probe_count(self, is_gang: bool, same_rack: bool) -> int:
        """Return a number of subtasks; half of the gangs for one rack just do not fit there."""
        if not is_gang:
            return self._rng.randint(1, 6)
        if same_rack and self._rng.random() < 0.5:
            return max(2, self._fleet.largest_answering_rack + self._rng.randint(0, 2))
        return self._rng.randint(2, max(2, min(16, self._fleet.size // 3)))

    def _submit_plain(self, step: StepSpec, priority: int) -> None:
        self._submit(PROBE, step, priority=priority, at_ms=self._past_ms())

    def _submit_suspect(self, step: StepSpec, priority: int) -> None:
        """Submit a job under which a worker has crashed, a while after it began."""
        crashed = worker("crashed", self._rng.choice(self._fleet.racks))
        self._play.add(crashed)
        began_ms = START_MS - self._rng.randint(10, 5_000)
        self._submit(PROBE, step, priority=priority, at_ms=began_ms)
        names = [f"0.0.{number}" for number in range(step.count)]
        hit = names if step.is_gang else self._rng.sample(names, self._rng.randint(1, step.count))
        starts = tuple(start_of(PROBE, name, on="crashed") for name in hit)
        self._play.apply(commands.StartRuns(starts, began_ms))
        self._play.crash(crashed, START_MS, START_MS)

    def _submit_second_step(self, step: StepSpec, priority: int) -> None:
        """Submit a job whose first step is done."""
        first = StepSpec(1, Resources(500, 100), estimated_ms=step.estimated_ms)
        second = msgspec.structs.replace(step, depends_on=(0,))
        self._submit(PROBE, first, second, priority=priority, at_ms=START_MS - 1_000)
        start = start_of(PROBE, "0.0.0", on=self._fleet.workers[0].id)
        self._play.apply(commands.StartRuns((start,), START_MS - 1_000))
        end = RunEnded(PROBE, "0.0.0", start.run, RunOutcome.DONE)
        self._play.apply(commands.EndRuns((end,), START_MS))

    def _submit_occurrences(self, step: StepSpec, priority: int) -> None:
        due_ms = START_MS + self._rng.randint(0, 3_000)
        self._submit(
            PROBE,
            step,
            priority=priority,
            at_ms=START_MS - 1_000,
            start_at_ms=due_ms,
            interval_ms=4_000,
            repeat_count=2,
        )
        self._play.at(due_ms, lambda: None)

    def _submit_refused(self, step: StepSpec, priority: int) -> None:
        """Submit a job of which some starts were refused just now, several times in a row."""
        self._submit(PROBE, step, priority=priority, at_ms=START_MS)
        for number in range(step.count):
            for _ in range(self._rng.randint(0, 8)):
                self._play.refusals.record_failure((PROBE, f"0.0.{number}"), START_MS)
