"""Fakes for tests of a cell: an in-memory replica, and workers that keep leases."""

import asyncio
import contextlib
import random

from expression import Error, Ok

from agateferry_core.clock import SystemClock
from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_scheduling.scheduler.baseline import BaselineScheduler
from agateferry_service.cell.cell import Cell
from agateferry_service.cell.context import CellContext, CellTimes
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.proposer import Proposer
from agateferry_service.cell.waiters import Waiters
from agateferry_service.dispatch.attempt import AttemptTimes
from agateferry_service.dispatch.messages import (
    LeaseState,
    LeaseView,
    WorkerError,
    WorkerErrorKind,
)
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_state.records import Kind, RecordStore, encode_revisions, parse_put
from agateferry_state.replica import Applied, ProposeError, ProposeErrorKind

TIMES = CellTimes(
    attempt=AttemptTimes(
        start_wait_ms=10,
        resolve_timeout_ms=50,
        backoff_ms=5,
        poll_interval_ms=20,
        reservation_ttl_ms=1_000,
    ),
    tick_ms=10,
    worker_silence_ms=100_000,
    requeue_ms=5,
)


class MemoryReplica:
    """Apply each command at once; tests set `is_leader` and `failing`."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.leader = "h1"
        self.term = 1
        self.failing = None
        self.failure = None
        self.lose_outcomes = False
        self._index = 0

    def on_leadership(self, listener):
        pass

    async def start(self):
        pass

    async def stop(self):
        self.is_leader = False

    async def propose(self, command):
        await asyncio.sleep(0)
        if not self.is_leader:
            return Error(ProposeError(ProposeErrorKind.NOT_LEADER, "h2"))
        if self.failing is not None:
            return Error(ProposeError(self.failing))
        self._index += 1
        result = self.machine.apply(self._index, command)
        if self.lose_outcomes:
            return Error(ProposeError(ProposeErrorKind.UNKNOWN))
        return Ok(Applied(self._index, result))

    async def read_barrier(self):
        return Ok(self._index)


class FakeWorkers:
    """Keep leases as workers do; `starts` counts actual starts by request and member."""

    def __init__(self):
        self.leases = {}
        self.starts = {}
        self.silent = set()
        self.refusing = {}
        self.finish_at_once = True

    async def reserve(self, address, order, ttl_ms):
        if address in self.refusing:
            return Error(WorkerError(WorkerErrorKind.REFUSED, self.refusing[address]))
        return Ok(self.leases.setdefault(order.lease, LeaseView(order.lease, LeaseState.RESERVED)))

    async def start(self, address, order, wait_ms):
        if address in self.refusing:
            return Error(WorkerError(WorkerErrorKind.REFUSED, self.refusing[address]))
        known = self.leases.get(order.lease)
        if known is None or known.state is LeaseState.RESERVED:
            key = (order.request_id, order.member)
            self.starts[key] = self.starts.get(key, 0) + 1
            self._put(order.lease, LeaseState.RUNNING)
            if self.finish_at_once:
                self.finish(order.lease)
        return self._answer(address, order.lease)

    async def get_lease(self, address, lease):
        if address not in self.silent and lease not in self.leases:
            return Error(WorkerError(WorkerErrorKind.UNKNOWN_LEASE))
        return self._answer(address, lease)

    async def control(self, address, lease, action, reason=""):
        known = self.leases.get(lease)
        if action == "stop" and (known is None or not known.final):
            self._put(lease, LeaseState.STOPPED)
        return self._answer(address, lease)

    def finish(self, lease):
        self._put(lease, LeaseState.FINISHED, answer=f"answer of {lease}")

    def _put(self, lease, state, answer=""):
        self.leases[lease] = LeaseView(lease, state, 0.5, answer=answer)

    def _answer(self, address, lease):
        if address in self.silent:
            return Error(WorkerError(WorkerErrorKind.SILENT))
        return Ok(self.leases[lease])


class BusyReplica(MemoryReplica):
    """Hold the event loop for `COMMAND_S` of its virtual time with each command, as a busy host."""

    COMMAND_S = 0.001

    def __init__(self, machine, loop):
        super().__init__(machine)
        self._loop = loop

    async def propose(self, command):
        result = await super().propose(command)
        self._loop.elapsed_s += self.COMMAND_S
        return result


def make_context(machine=None, workers=None, times=TIMES, replica=None, clock=None):
    machine = machine or CellMachine("z")
    replica = replica or MemoryReplica(machine)
    metrics = Metrics()
    return CellContext(
        host="h1",
        machine=machine,
        replica=replica,
        proposer=Proposer(replica, metrics),
        workers=workers or FakeWorkers(),
        clock=clock or SystemClock(),
        rng=random.Random(1),
        metrics=metrics,
        log=EventLogger(),
        waiters=Waiters(),
        times=times,
    )


def make_cell(ctx, make_scheduler=BaselineScheduler):
    return Cell(ctx, make_scheduler)


def give_records(machine, team="t", **team_content):
    """Put a team and three jobs in force: quick, once (not idempotent) and gang (three members)."""
    gang = {"members": 3, "accelerators": 4, "adjacency": "rack"}
    contents = {
        ("team", team): team_content,
        ("job", "quick"): {"urgency": "urgent", "idempotent": True},
        ("job", "once"): {"idempotent": False},
        ("job", "gang"): {"urgency": "long", "idempotent": True, "demand": gang},
    }
    adopt_contents(machine, contents)


def set_evacuated(machine, evacuated=True, zone="z"):
    """Put an evacuation or its end in force."""
    content = {"evacuated": evacuated, "since_ms": 1_000, "requested_by": "ada"}
    adopt_contents(machine, {("evacuation", zone): content})


def adopt_contents(machine, contents):
    """Put contents in force, each as the next version of the record that its key names."""
    store = RecordStore()
    store.restore(machine.records.snapshot())
    known = store.revision
    for (kind, name), content in contents.items():
        current = store.get(Kind(kind), name)
        replaces = current.version if current and kind == "evacuation" else 0
        body = {"schema": "v2", "replaces": replaces, "content": content}
        store.put(parse_put(kind, name, body).ok)
    adopt = commands_pb2.AdoptRecords(revisions=encode_revisions(store.since(known)))
    machine.apply(0, commands_pb2.Command(adopt=adopt).SerializeToString())


def announcement(name, leases=(), **fields):
    worker = {
        "name": name,
        "rack": "r1",
        "accelerators": 8,
        "cpu_cores": 64,
        "memory_mb": 65536,
        "slots": 8,
        "address": name,
        "incarnation": "i1",
        "state": "serving",
    }
    worker.update(fields)
    return cell_pb2.AnnounceRequest(worker=commands_pb2.WorkerChanged(**worker), leases=leases)


def submission(job="quick", key="", wait_ms=2_000, request_id="z.1", digest=b"d", **fields):
    return cell_pb2.SubmitRequest(
        id=request_id, team="t", job=job, key=key, body_digest=digest, wait_ms=wait_ms, **fields
    )


@contextlib.asynccontextmanager
async def running_cell(
    workers=None, names=("w1", "w2"), machine=None, scheduler=BaselineScheduler, **context
):
    ctx = make_context(machine, workers, **context)
    if machine is None:
        give_records(ctx.machine)
    cell = make_cell(ctx, scheduler)
    await cell.start()
    while not cell.leader.active:
        await asyncio.sleep(0.01)
    for name in names:
        await cell.announce(announcement(name))
    try:
        yield cell
    finally:
        await cell.stop()


async def until(condition, timeout_s=5):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)
