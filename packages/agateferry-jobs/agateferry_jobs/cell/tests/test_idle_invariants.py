"""No job is kept idle beside free workers, whatever happened to workers, orders and leaders before.

Everything runs in virtual time from a seed, with the real leader and workers in memory. While
faults go on, nothing is checked. Then all links heal, but for those of workers that stay dark.
After a settling time, the rule of `support/idle_watch.py` is checked at each tick against what the
workers really run, while jobs keep arriving.

The environment variables AGATEFERRY_IDLE_CELL_SEEDS and AGATEFERRY_IDLE_CELL_FIRST_SEED set how
many seeds are run, and the first of them.
"""

import asyncio
import os
from functools import cache
from unittest import mock

import msgspec
import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.plan_loop import PlanLoop
from agateferry_jobs.cell.tests.test_invariants import LEASE_MS, FaultScenario
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import Run, WorkerState
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.planning import Plan, WorkerHealth, planner
from agateferry_jobs.settings import TimeLimits
from agateferry_jobs.support import worker
from agateferry_jobs.support.idle_watch import IdleWatch, ServiceRoom
from agateferry_jobs.support.timed_runs import TimedRuns, TimedWorker
from agateferry_jobs.workers.clock_bounds import max_local_ms
from agateferry_state.replica.protocols import ProposeErrorKind

FIRST_SEED = int(os.environ.get("AGATEFERRY_IDLE_CELL_FIRST_SEED", 1))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("AGATEFERRY_IDLE_CELL_SEEDS", 20)))
PLANTED_SEEDS = range(1, 11)
NEAR_LIMIT_MS = 1_000
MIN_NEAR_SHARE = 0.2
"""The share of seeds in which a job must be idle for `NEAR_LIMIT_MS` although it might run."""
LIMITS = TimeLimits()
TICK_MS = 50
HEARTBEAT_TICKS = LIMITS.heartbeat_ms // TICK_MS
FAULTS_S = 12.0
SETTLE_S = (max_local_ms(LEASE_MS) + LIMITS.heartbeat_ms) / 1000
"""The time until the last lease has expired and each worker has reported."""
OBSERVED_S = 15.0
RACKS = ("r0", "r1", "r2")
WORKERS = (8, 16)
MAX_DARK_SHARE = 0.6
"""The share of workers that stay dark at most."""
RUN_MS = (2_000, 9_000)
JOB_GAP_S = (0.2, 1.2)
MAX_IDLE_JOBS = 4
GUARANTEED_TEAM, OTHER_TEAM = "team", "other"
MANIFEST = Manifest(
    1,
    tuple(
        Queue(f"p{n}", "host", f"/p{n}/", "pool", 3000, 1000, n, attempts=3, stretch=3.0)
        for n in range(3)
    ),
    (Service("pool"),),
    (Team(GUARANTEED_TEAM, (GUARANTEED_TEAM,), reserved_gpus=16), Team(OTHER_TEAM, (OTHER_TEAM,))),
    b"version 1",
)


class ObservedWorkers:
    """What the workers of a scenario really are and run, as an `IdleWatch` observes it."""

    refusing = ()

    def __init__(self, scenario):
        self.scenario = scenario
        self.ledger = scenario.ledger
        self.start_ms = self.now_ms

    @property
    def now_ms(self):
        return self.scenario.clock.now_ms()

    @property
    def plan(self):
        return self.scenario.plan

    @property
    def workers(self):
        return {id: self.scenario.incarnations[id] for id in self.scenario.live_ids()}

    @property
    def health(self):
        return {id: WorkerHealth() for id in self.scenario.live_ids()}

    def active_runs(self):
        for id in self.scenario.live_ids():
            port = self.scenario.ports[id]
            for (job, name), number in port.running.items():
                yield self.ledger.jobs[job], name, Run(number, id, port.born)


class IdleFaultScenario(FaultScenario):
    """Workers in three racks with many kinds of jobs, first with faults and then without."""

    worker_ids = ()

    def __init__(self, loop, seed):
        self.racks = {}
        self.dark = set()
        """The ids of the workers that stay dark, or have been taken away."""
        self.plan = Plan()
        self.watch = None
        self.tasks = set()
        self.run_ms = {}
        self.job_count = 0
        super().__init__(loop, seed)
        for _ in range(self.rng.randint(*WORKERS)):
            self.add_worker()
        self.runs = TimedRuns(self.ledger, loop, lambda key: self.run_ms[key[0]])
        self.doomed_racks = self.rng.sample(RACKS, self.rng.randint(0, 2))
        self.max_share = self.rng.uniform(0.2, 0.5)
        """The share in use above which no job is submitted."""

    def new_leader(self):
        leader = Leader(
            self.replica,
            self.ledger,
            self.clock,
            self.port_to,
            LEASE_MS,
            LIMITS.max_report_age_ms,
        )
        make_plan = leader._make_plan

        def recorded(limits):
            self.plan = yield from make_plan(limits)
            return self.plan

        leader._make_plan = recorded
        return leader

    def new_incarnation(self, id, born):
        rack = self.racks.setdefault(id, RACKS[len(self.racks) % len(RACKS)])
        return worker(id, rack, born=born, zone=f"zone-{rack}")

    def new_port(self, born):
        return TimedWorker(self.clock, born, wait_step_ms=TICK_MS)

    def add_worker(self):
        id = f"w{len(self.racks)}"
        self.incarnations[id] = self.new_incarnation(id, 1)
        self.ports[id] = self.new_port(1)

    def live_ids(self):
        return [id for id in self.ports if id not in self.dark]

    def any_id(self):
        return self.rng.choice(self.live_ids())

    def any_port(self):
        return self.ports[self.any_id()]

    async def run(self):
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(MANIFEST))
        self.spawn(self.tick_forever())
        self.spawn(self.submit_jobs())
        try:
            await self.make_faults()
            await self.heal()
            await asyncio.sleep(SETTLE_S)
            self.watch = IdleWatch(ObservedWorkers(self))
            await asyncio.sleep(OBSERVED_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await self.leader.close()
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()
        return self.watch

    def spawn(self, coro):
        self.tasks.add(asyncio.create_task(coro))

    async def tick_forever(self):
        for tick in range(1_000_000):
            for port in self.ports.values():
                port.expire_lease()
            self.runs.advance(self.ports.values())
            if self.watch is not None:
                self.watch.observe()
            await self.heartbeat(tick)
            await asyncio.sleep(TICK_MS / 1000)

    async def heartbeat(self, tick):
        """Send the heartbeats that are due; each worker has a phase of its own."""
        for number, (id, port) in enumerate(list(self.ports.items())):
            if (tick + number) % HEARTBEAT_TICKS == 0 and not port.is_unreachable:
                await self.report(id)

    async def report(self, id):
        now_ms = self.clock.now_ms()
        await self.leader.handle(messages.Heartbeat(self.incarnations[id], now_ms, now_ms))

    async def submit_jobs(self):
        """Submit jobs at a low rate, as long as few wait and little is in use."""
        while True:
            await asyncio.sleep(self.rng.uniform(*JOB_GAP_S))
            room = ServiceRoom(ObservedWorkers(self))
            if room.share_in_use() < self.max_share and self.count_idle_jobs() <= MAX_IDLE_JOBS:
                await self.submit_steps(*self.new_steps(room))

    def count_idle_jobs(self):
        running = {job for port in self.ports.values() for job, _ in port.running}
        open_jobs = {job.id for job in self.ledger.jobs.values() if not job.is_over}
        return len(open_jobs - running)

    async def submit_steps(self, *steps):
        """Submit a job of a random queue and team."""
        run_ms = self.rng.randint(*RUN_MS)
        estimated_ms = round(run_ms * 2 ** self.rng.uniform(-1, 1))
        steps = [msgspec.structs.replace(step, estimated_ms=estimated_ms) for step in steps]
        id = f"{self.job_count:016x}"
        self.job_count += 1
        self.run_ms[id] = run_ms
        key = self.rng.choice((GUARANTEED_TEAM, OTHER_TEAM))
        target = messages.CallTarget("host", f"/p{self.rng.randint(0, 2)}/{id}", key)
        await self.leader.handle(messages.Submit(target, JobSpec("payload", tuple(steps))))

    def new_steps(self, room):
        """Return the steps of a job; some would start at once if they did not prefer a rack."""
        kind = self.rng.choice((*[self.new_data_step] * 3, *[self.new_rack_gang] * 3, None, None))
        step = kind(room) if kind is not None else None
        if step is not None and room.has_room(step):
            return (step,)
        count = self.rng.choice((1, 1, 1, 1, 2, 3))
        steps = [self.new_step() for _ in range(count)]
        return [
            msgspec.structs.replace(step, depends_on=(number - 1,)) if number else step
            for number, step in enumerate(steps)
        ]

    def new_step(self):
        rng = self.rng
        match rng.choice(("subtasks", "data", "spread", "spread", "gang", "rack")):
            case "data":
                rack = rng.choice((*RACKS, *self.doomed_racks))
                return StepSpec(rng.randint(1, 3), self.new_need(1, 2, 4, 8), data_rack=rack)
            case "spread":
                return StepSpec(rng.randint(2, 6), self.new_need(0, 1), max_per_worker=1)
            case "gang":
                return StepSpec(rng.randint(2, 4), self.new_need(0, 1, 2, 4), is_gang=True)
            case "rack":
                need = self.new_need(2, 4)
                return StepSpec(rng.randint(2, 5), need, is_gang=True, same_rack=True)
        return StepSpec(rng.randint(1, 4), self.new_need(0, 1, 1, 2, 4))

    def new_rack_gang(self, room):
        """Return a gang that is just too large for what is free in each rack."""
        step = StepSpec(1, self.new_need(2, 4, 8), is_gang=True, same_rack=True)
        count = max(self.free_in_racks(room, step).values()) + 1
        return msgspec.structs.replace(step, count=count) if count > 1 else None

    def new_data_step(self, room):
        """Return a step with its data in the rack where the fewest of its subtasks fit."""
        step = StepSpec(self.rng.randint(1, 2), self.new_need(2, 4, 8))
        free = self.free_in_racks(room, step)
        return msgspec.structs.replace(step, data_rack=min(free, key=free.__getitem__))

    def free_in_racks(self, room, step):
        """Return how many subtasks of a step fit into each rack."""
        free = dict.fromkeys(RACKS, 0)
        for id in self.live_ids():
            free[self.racks[id]] += room.count_fitting(self.incarnations[id], step)
        return free

    def new_need(self, *gpus):
        """Return the need of a subtask, with one of the given numbers of accelerators."""
        gpu = self.rng.choice(gpus)
        cpu = self.rng.choice((500, 1_000, 1_500)) * max(1, gpu)
        return Resources(cpu=cpu, mem_mb=100, gpu=gpu)

    async def make_faults(self):
        end_s = self.clock.time() + self.rng.uniform(0.5, 1) * FAULTS_S
        await asyncio.sleep(self.rng.uniform(1, 4))
        while self.clock.time() < end_s:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            await self.rng.choice(self.faults())()

    def faults(self):
        return (
            *[self.execute_late_order] * 2,
            *[self.darken] * 3,
            *[self.disconnect_for_a_while] * 2,
            *[self.restart_worker] * 2,
            self.lose_orders,
            self.lose_polls,
            self.repeat_order,
            self.reject_starts,
            self.drain,
            self.take_away,
            self.resize,
            self.evacuate,
            self.fail_proposals,
            self.change_leader,
        )

    async def darken(self):
        """Let a worker be dark for good: it is down, or cut off with its runs going on."""
        doomed = [id for id in self.live_ids() if self.racks[id] in self.doomed_racks]
        id = self.rng.choice(doomed) if doomed and self.rng.random() < 0.8 else self.any_id()
        if len(self.dark) + 1 > MAX_DARK_SHARE * len(self.ports):
            return
        self.dark.add(id)
        self.ports[id].is_unreachable = True
        if self.rng.random() < 0.5:
            self.ports[id].running.clear()

    async def disconnect_for_a_while(self):
        port, duration_s = self.any_port(), self.rng.uniform(0.3, 6)
        port.is_unreachable = True

        async def reconnect():
            await asyncio.sleep(duration_s)
            port.is_unreachable = any(self.ports[id] is port for id in self.dark)

        self.spawn(reconnect())

    async def restart_worker(self):
        id = self.any_id()
        old = self.ports[id]
        old.is_replaced = True
        old.running.clear()
        self.incarnations[id] = self.new_incarnation(id, old.born + 1)
        self.ports[id] = self.new_port(old.born + 1)
        await self.report(id)

    async def lose_polls(self):
        self.any_port().polls_to_lose = self.rng.randint(1, 4)

    async def reject_starts(self):
        port = self.any_port()
        port.is_full = not port.is_full

    async def drain(self):
        id = self.any_id()
        self.change(id, state=WorkerState.DRAINING)
        await self.report(id)

    async def take_away(self):
        """Let a draining worker shut down."""
        draining = [
            id
            for id in self.live_ids()
            if self.incarnations[id].state is WorkerState.DRAINING
            and len(self.dark) + 1 <= MAX_DARK_SHARE * len(self.ports)
        ]
        if draining:
            id = self.rng.choice(draining)
            self.dark.add(id)
            self.ports[id].running.clear()
            self.ports[id].is_unreachable = True
            await self.leader.handle(messages.Deregister(id))

    async def resize(self):
        gpus = self.rng.choice((0, 4, 8))
        self.change(self.any_id(), capacity=Resources(cpu=2_000 * gpus, mem_mb=10_000, gpu=gpus))

    def change(self, id, **fields):
        self.incarnations[id] = msgspec.structs.replace(self.incarnations[id], **fields)

    async def evacuate(self):
        zone = f"zone-{self.rng.choice(RACKS)}"
        await self.leader.handle(messages.EvacuateZone(zone, "operator"))

    async def fail_proposals(self):
        """Let commands fail, or take effect without an answer, for a while."""
        kind = self.rng.choice((ProposeErrorKind.UNKNOWN, ProposeErrorKind.NOT_LEADER))
        self.replica.error_for = lambda _: kind
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.replica.error_for = lambda _: None

    async def heal(self):
        """End all faults but for the workers that stay dark, and most evacuations."""
        for id in self.live_ids():
            port = self.ports[id]
            port.is_unreachable = port.is_full = False
            port.orders_to_lose = port.polls_to_lose = 0
        for zone in list(self.ledger.state.evacuations):
            if self.rng.random() < 0.8:
                await self.leader.handle(messages.ReadmitZone(zone, "operator"))


def run(seed):
    """Run a seed; return the watch of its jobs."""
    return run_virtual(lambda loop: IdleFaultScenario(loop, seed).run())


def first_found(seeds=PLANTED_SEEDS):
    """Return the first violation, or None."""
    return next((found[0] for seed in seeds if (found := run(seed).found)), None)


@cache
def watches():
    """Return the watches of all seeds, by seed."""
    return {seed: run(seed) for seed in SEEDS}


class IdleTests(testtools.TestCase):
    def test_no_job_is_kept_idle_beside_free_workers_after_faults(self):
        """Guards against jobs that never start, or late, though most of the workers are free."""
        found = [f"seed {seed}: {idle}" for seed, each in watches().items() for idle in each.found]
        if found:
            self.fail("\n".join([f"{len(found)} idle in {len(SEEDS)} seeds", *found]))

    def test_many_seeds_have_a_job_that_might_run(self):
        """Guards against scenarios that no longer meet the rule's conditions."""
        near = sum(each.longest_idle_ms >= NEAR_LIMIT_MS for each in watches().values())
        self.assertGreaterEqual(near, MIN_NEAR_SHARE * len(SEEDS))


class PlantedFaultTests(testtools.TestCase):
    def assert_found(self, target, name, fault):
        with mock.patch.object(target, name, fault):
            self.assertIsNotNone(first_found(), "the planted fault was not found")

    def test_a_job_may_wait_by_choice_for_long(self):
        self.assert_found(planner, "MAX_IDLE_BY_CHOICE_MS", 10**9)

    def test_planning_is_no_longer_requested(self):
        request = PlanLoop.request

        def request_early(loop):
            if loop._clock.now_ms() < FAULTS_S * 1000:
                request(loop)

        self.assert_found(PlanLoop, "request", request_early)

    def test_lost_runs_are_not_ended(self):
        async def end_none(sessions):
            pass

        self.assert_found(WorkerSessions, "end_lost_runs", end_none)
