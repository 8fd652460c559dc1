"""Nothing starts in an evacuated zone in time, whatever happens to orders, workers and calls.

The faults are those of `test_invariants`; besides, zones are evacuated and readmitted by calls that
are lost, resent or late, and the workers' clocks drift. An order that was delayed counts when its
worker executes it.
"""

import asyncio
import contextlib
from unittest import mock

import msgspec
import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.run_stops import RunStops
from agateferry_jobs.cell.tests.test_invariants import LEASE_MS, FaultScenario, InvariantError
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import WorkerState, commands, ledger
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.ledger.state import gang_of
from agateferry_jobs.planning.worker_allocation import WorkerAllocation
from agateferry_jobs.settings import TimeLimits
from agateferry_jobs.support import manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.clock_bounds import MAX_CLOCK_DRIFT
from agateferry_jobs.workers.contact import WorkerContact
from agateferry_jobs.workers.lease import Lease
from agateferry_state.replica.protocols import ProposeErrorKind

SEEDS = range(1, 41)
LIMITS = TimeLimits(evacuation_ms=2_000)
"""A bound below `LEASE_MS`, as on the platform, so that a lease alone does not keep it."""
URGENT = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
CLOCK_RATES = (1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT)
RESEND_S = 0.1
EVACUATION_ATTEMPTS = 20
"""How often an evacuation is sent at most; a readmission is sent until it is acknowledged."""
MAX_PARTIAL_GANG_MS = 8_000
"""How long a member may run before its gang is whole: two leases and the times of polls."""


IS_READY = property(lambda worker: worker.incarnation.state is WorkerState.READY)
"""What `WorkerAllocation.is_ready` would be without evacuations."""


class DriftingClock:
    """A worker's clock, which runs slower or faster than the leader's."""

    def __init__(self, clock, rate):
        self.clock = clock
        self.rate = rate

    def now_ms(self):
        return int(self.clock.now_ms() * self.rate)


class Operator:
    """Evacuates and readmits one zone; its calls are lost, delayed, doubled and resent."""

    def __init__(self, scenario, zone):
        self.scenario = scenario
        self.zone = zone
        self.acknowledged_ms = None
        """When the evacuation was acknowledged; None once a readmission was sent."""
        self.is_busy = False

    async def evacuate(self):
        for _ in range(EVACUATION_ATTEMPTS):
            if await self.send(messages.EvacuateZone):
                if self.acknowledged_ms is None:
                    self.acknowledged_ms = self.scenario.clock.now_ms()
                return
            await asyncio.sleep(RESEND_S)

    async def readmit(self):
        self.acknowledged_ms = None
        while not await self.send(messages.ReadmitZone):
            await asyncio.sleep(RESEND_S)

    async def send(self, kind):
        """Send a call by way of a host that reads the revision; return if it is acknowledged."""
        scenario = self.scenario
        read = await scenario.leader.handle(messages.ReadEvacuations())
        if not isinstance(read, messages.EvacuationsRead):
            return False
        call = kind(self.zone, "operator", read.revisions.get(self.zone, 0))
        fate = scenario.next_call_fate()
        if fate in ("delayed", "doubled"):
            scenario.delayed_calls.append(call)
        if fate == "delayed":
            return False
        scenario.replica.error_for = lambda _: fate if isinstance(fate, ProposeErrorKind) else None
        reply = await scenario.leader.handle(call)
        scenario.replica.error_for = lambda _: None
        return reply == messages.Done() and fate != "unanswered"


class EvacuationScenario(FaultScenario):
    """Three workers in two zones, which are evacuated and readmitted at random."""

    zones = {"w0": "zone-a", "w1": "zone-a", "w2": "zone-b"}
    steps = 90
    limits = LIMITS
    lease_ms = LEASE_MS

    def __init__(self, loop, seed):
        self.violation = ""
        self.is_calm = False
        self.delayed_calls = []
        self.tasks = []
        self.partial_since = {}
        self.whole_runs = set()
        super().__init__(loop, seed)
        self.operators = {zone: Operator(self, zone) for zone in sorted({*self.zones.values()})}
        self.watch_starts()

    def new_leader(self):
        max_start_ms = self.limits.max_start_ms
        return Leader(
            self.replica, self.ledger, self.clock, self.port_to, self.lease_ms, None, max_start_ms
        )

    def new_incarnation(self, id, born):
        return worker(id, born=born, zone=self.zones[id])

    def new_port(self, born):
        port = super().new_port(born)
        port.clock = DriftingClock(self.clock, self.rng.choice(CLOCK_RATES))
        start, execute, stop = port.start, port.execute, port.stop

        def checked_start(order, timeout_ms):
            if self.evacuated_for_ms(self.zone_of(port)) is not None:
                self.violation = f"a start of {order.key} was sent to an evacuated zone"
            return start(order, timeout_ms)

        def checked_execute(order):
            before = len(port.starts)
            answer = execute(order)
            if len(port.starts) > before:
                self.check_begun(port, order)
            return answer

        def checked_stop(order, timeout_ms):
            self.check_stop(port, order)
            return stop(order, timeout_ms)

        port.start, port.execute, port.stop = checked_start, checked_execute, checked_stop
        return port

    def zone_of(self, port):
        """Return the zone of a worker's current incarnation, or None for an earlier one."""
        return next((self.zones[id] for id, each in self.ports.items() if each is port), None)

    def evacuated_for_ms(self, zone):
        """Return how long ago a zone's evacuation was acknowledged, or None if it may be used."""
        operator = self.operators.get(zone)
        if operator is None or operator.acknowledged_ms is None:
            return None
        return self.clock.now_ms() - operator.acknowledged_ms

    def check_begun(self, port, order):
        zone = self.zone_of(port)
        age_ms = self.evacuated_for_ms(zone)
        if age_ms is not None and age_ms >= self.limits.evacuation_ms:
            self.violation = f"{order.key} began in {zone}, evacuated for {age_ms} ms"

    def check_stop(self, port, order):
        """Check that a run that is placed in an evacuated zone is not stopped for that."""
        zone = self.zone_of(port)
        job = self.ledger.jobs.get(order.key[0])
        if self.evacuated_for_ms(zone) is None or job is None or job.is_over:
            return
        subtask = job.subtasks.get(order.key[1])
        run = subtask.active if subtask is not None else None
        is_placed = run is not None and (run.number, run.born) == (order.run, port.born)
        if is_placed and self.missing_members(job, order.key[1]) == 0:
            self.violation = f"{order.key} was stopped in {zone}, which is evacuated"

    def missing_members(self, job, name):
        """Return how many other members of a subtask's gang have no run and are not done."""
        if not job.step_of(name).is_gang:
            return 0
        members = [job.subtasks.get(member) for member in job.members(gang_of(name))]
        return sum(each is None or not (each.active or each.is_done) for each in members)

    def watch_starts(self):
        """Check each start that is committed."""
        apply = self.ledger.apply

        def checked(index, data):
            result = apply(index, data)
            if isinstance(commands.decode(data), commands.StartRuns):
                for start in result:
                    self.check_committed(start)
            return result

        self.ledger.apply = checked

    def check_committed(self, start):
        if self.evacuated_for_ms(self.zones[start.run.worker]) is not None:
            self.violation = f"a start on {start.run.worker}, which is evacuated, was committed"
        job = self.ledger.jobs[start.job]
        if self.missing_members(job, start.subtask):
            self.violation = f"the gang of {start.job} was started in part"

    def check(self):
        super().check()
        if self.violation:
            raise InvariantError(self.violation)
        self.check_gangs()

    def check_gangs(self):
        """Check that no member of a gang runs for long without the others."""
        now_ms = self.clock.now_ms()
        running = {(key, run) for port in self.ports.values() for key, run in port.running.items()}
        keys = {key for key, _ in running}
        for key, run in running - self.whole_runs:
            job = self.ledger.jobs[key[0]]
            members = {(job.id, name) for name in job.members(gang_of(key[1]))}
            if not job.step_of(key[1]).is_gang or members <= keys:
                self.whole_runs.add((key, run))
            elif now_ms - self.partial_since.setdefault((key, run), now_ms) > MAX_PARTIAL_GANG_MS:
                raise InvariantError(f"{key} runs without the rest of its gang")

    def faults(self):
        return (
            *super().faults(),
            *[self.lose_orders] * 4,
            *[self.delay_orders_past_evacuation] * 4,
            *[self.evacuate_zone] * 2,
            self.evacuate_all,
            *[self.readmit_zone] * 2,
            self.execute_delayed_call,
        )

    async def end_run(self):
        """End a run; a member of a gang waits until all members run."""
        for port in self.ports.values() if self.is_calm else [self.any_port()]:
            begun = sorted(port.running.items() & self.whole_runs)
            if begun:
                key, _ = self.rng.choice(begun)
                outcomes = ("done", "done", "failed") if self.is_whole(key[0]) else ("alone",)
                port.end(key, self.rng.choice(outcomes))

    async def reconnect_workers(self):
        """End a partition, which often lasts longer than the bound of evacuations."""
        if self.is_calm or self.rng.random() < 0.4:
            await super().reconnect_workers()

    async def delay_orders_past_evacuation(self):
        """Cut off a worker with orders under way, so that no poll fences them, and evacuate it."""
        port = self.any_port()
        if port.delayed_orders:
            port.is_unreachable = True
            operator = self.operators[self.zone_of(port)]
            self.operate(operator, operator.evacuate)
            for order in port.delayed_orders:
                self.spawn(self.execute_at_deadline(port, order))
            port.delayed_orders = []

    async def execute_at_deadline(self, port, order):
        left_ms = order.deadline_ms - port.clock.now_ms() - self.rng.randint(1, 100)
        await asyncio.sleep(max(0, left_ms) / 1000)
        if port in self.ports.values():
            self.executed_late_orders.append((port, order))
            port.execute(order)

    async def evacuate_zone(self):
        operator = self.operators[self.rng.choice(sorted(self.operators))]
        self.operate(operator, operator.evacuate)

    async def evacuate_all(self):
        for operator in self.operators.values():
            self.operate(operator, operator.evacuate)

    async def readmit_zone(self):
        operator = self.operators[self.rng.choice(sorted(self.operators))]
        self.operate(operator, operator.readmit)

    async def execute_delayed_call(self):
        if self.delayed_calls:
            index = self.rng.randrange(len(self.delayed_calls))
            await self.leader.handle(self.delayed_calls.pop(index))

    def next_call_fate(self):
        if self.is_calm:
            return "answered"
        unclear = (ProposeErrorKind.UNKNOWN, "delayed", "doubled", "unanswered")
        return self.rng.choice(("answered",) * 4 + unclear)

    def operate(self, operator, act):
        """Have an operator act, one call after the other for each zone."""
        if not operator.is_busy:
            operator.is_busy = True
            self.spawn(self.act_alone(operator, act))

    async def act_alone(self, operator, act):
        try:
            await act()
        finally:
            operator.is_busy = False

    def spawn(self, coro):
        self.tasks.append(asyncio.create_task(coro))

    async def change_leader(self):
        """Let the leader's lease lapse; the next leader has the ledger from a snapshot."""
        self.replica.is_leader = False
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.replica.lead(False)
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.ledger.restore(self.ledger.snapshot())
        self.partial_since.clear()
        self.replica.lead()

    async def heartbeat(self):
        for id, port in self.ports.items():
            if not port.is_unreachable and self.replica.is_leader:
                clocks = (self.clock.now_ms(), port.clock.now_ms())
                await self.leader.handle(messages.Heartbeat(self.incarnations[id], *clocks))

    async def run(self):
        try:
            await super().run()
        finally:
            for task in self.tasks:
                task.cancel()

    async def finish_all_jobs(self):
        """Readmit all zones; calls that arrive even later must change nothing."""
        self.is_calm = True
        await asyncio.gather(*self.tasks)
        for operator in self.operators.values():
            await operator.readmit()
        while self.delayed_calls:
            await self.execute_delayed_call()
        if self.ledger.state.evacuations:
            raise InvariantError("a late call evacuated a zone")
        await super().finish_all_jobs()


def first_failing(make=EvacuationScenario, seeds=SEEDS):
    """Return the first seed at which an invariant is violated, with the violation, or None."""
    for seed in seeds:
        try:
            run_virtual(lambda loop, seed=seed: make(loop, seed).run())
        except InvariantError as exc:
            return seed, str(exc)
    return None


class ColdScenario(FaultScenario):
    """Three workers, some of them cold, and one urgent job after the other."""

    sizes = (4, 6, 8)
    """The accelerators of the workers; the smallest one is taken first by other rules."""

    async def run(self):
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(urgent_manifest()))
        try:
            for id in self.ids:
                await self.check_choice(id)
        finally:
            await self.leader.close()

    def new_incarnation(self, id, born):
        incarnation = super().new_incarnation(id, born)
        size = self.sizes[self.worker_ids.index(id)]
        incarnation.capacity = msgspec.structs.replace(incarnation.capacity, gpu=size)
        return incarnation

    async def check_choice(self, id):
        """Check that an urgent job takes a warm worker."""
        if self.rng.random() < 0.3:
            await self.change_leader()
        cold = self.rng.sample(self.worker_ids, self.rng.randint(1, 2))
        for each, incarnation in self.incarnations.items():
            beat = messages.Heartbeat(
                incarnation, self.clock.now_ms(), cold_remaining_ms=1_500 * (each in cold)
            )
            await self.leader.handle(beat)
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        await self.leader.handle(messages.Submit(target, URGENT))
        await asyncio.sleep(0.5)
        (taken,) = [each for each, port in self.ports.items() if port.running]
        if taken in cold:
            raise InvariantError(f"an urgent job runs on {taken}, which is cold")
        self.ports[taken].end((id, "0.0.0"), "done")
        await asyncio.sleep(0.5)


def urgent_manifest():
    """Return a manifest whose queues are urgent."""
    usual = manifest()
    queues = tuple(msgspec.structs.replace(each, priority=0) for each in usual.queues)
    return msgspec.structs.replace(usual, queues=queues)


class EvacuationTests(testtools.TestCase):
    def test_nothing_starts_in_an_evacuated_zone(self):
        self.assertIsNone(first_failing())


class ColdWorkerTests(testtools.TestCase):
    def test_urgent_jobs_take_warm_workers(self):
        self.assertIsNone(first_failing(ColdScenario))


class PlantedFaultTests(testtools.TestCase):
    def assert_found(self, expected, *faults, make=EvacuationScenario):
        """Check that the seeds find faults, which are targets of `mock.patch.object`, as stated."""
        with contextlib.ExitStack() as stack:
            for target, name, fault in faults:
                stack.enter_context(mock.patch.object(target, name, fault))
            found = first_failing(make)
        self.assertIsNotNone(found, "the planted fault was not found")
        self.assertIn(expected, found[1])

    def test_neither_the_planner_nor_the_ledger_knows_evacuations(self):
        """Either of them covers for the other."""
        self.assert_found(
            "was committed",
            (WorkerAllocation, "is_ready", IS_READY),
            (ledger, "startable", lambda starts, *_: tuple(starts)),
        )

    def test_orders_are_sent_without_a_check(self):
        unchecked = (WorkerSessions, "is_evacuated", lambda *_: False)
        self.assert_found("was sent to an evacuated zone", unchecked)

    def test_start_orders_have_no_deadline_of_their_own(self):
        self.assert_found("began in", (Lease, "grant_start_deadline", Lease.grant_deadline))

    def test_runs_in_an_evacuated_zone_are_stopped(self):
        stop_obsolete = RunStops.stop_obsolete

        def stop_more(stops):
            stop_obsolete(stops)
            for session in stops._sessions.by_id.values():
                if stops._sessions.is_evacuated(session.incarnation.zone):
                    for key in session.runs:
                        session.stop_run(key)

        self.assert_found("was stopped in", (RunStops, "stop_obsolete", stop_more))

    def test_a_start_that_is_dropped_does_not_drop_its_gang(self):
        def drop_single(starts, jobs, workers, evacuations):
            return tuple(s for s in starts if workers[s.run.worker].zone not in evacuations)

        self.assert_found(
            "started in part",
            (WorkerAllocation, "is_ready", IS_READY),
            (ledger, "startable", drop_single),
        )

    def test_heartbeats_do_not_make_a_worker_cold(self):
        record_report = WorkerContact.record_report
        as_warm = (WorkerContact, "record_report", lambda contact, _: record_report(contact))
        self.assert_found("which is cold", as_warm, make=ColdScenario)
