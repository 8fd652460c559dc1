"""Measure the slopes from which docs/CAPACITY.md works out each role's state and processor time.

For example `python -m agateferry_standins.capacity`. Each row is
`capacity WHAT size=N value unit`, for three sizes or more; memory is what `tracemalloc` counts for
the objects made, processor time is that of this process.
"""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

from agateferry_core.demand import Adjacency, Demand, Urgency
from agateferry_service.cell.machine import CellMachine
from agateferry_service.requests import RequestSpec
from agateferry_service.requests.codec import spec_to_pb
from agateferry_service.rpc import commands_pb2 as pb
from agateferry_state.records import RecordPut, RecordStore, encode_revisions, parse_put

SIZES = (2_500, 10_000, 40_000)
RECORD_SIZES = (250, 1_000, 4_000)
GANGS = (1, 8, 64)
PAYLOAD = "barn 12, truck 7, 40 sacks"
ANSWER = "counted: 40 sacks in barn 12"
US_PER_S = 1_000_000
MS_PER_S = 1_000


def main() -> int:
    """Print every slope."""
    for size in SIZES:
        _running_requests(size)
    for size in SIZES:
        _ended_requests(size)
    for size in RECORD_SIZES:
        _records(size)
    for members in GANGS:
        _command_sizes(members)
    return 0


def _running_requests(size: int) -> None:
    accepts = [_accept(number).SerializeToString() for number in range(size)]
    used, took_s = _measure(lambda: _filled_machine(accepts))
    machine = _filled_machine(accepts)
    _tell("running-request-memory", size, used / size, "bytes")
    _tell("accept-and-place", size, took_s / size * US_PER_S, "us")
    began = time.process_time()
    data = machine.snapshot()
    _tell("snapshot-time", size, (time.process_time() - began) * MS_PER_S, "ms")
    _tell("snapshot-size", size, len(data) / size, "bytes-a-request")


def _ended_requests(size: int) -> None:
    commands = [command for number in range(size) for command in _life(number)]
    used, took_s = _measure(lambda: _filled_machine(commands))
    _tell("remembered-request-memory", size, used / size, "bytes")
    _tell("whole-life", size, took_s / size * US_PER_S, "us")
    machine = _filled_machine(commands)
    began = time.process_time()
    data = machine.snapshot()
    _tell("snapshot-of-remembered", size, (time.process_time() - began) * MS_PER_S, "ms")
    _tell("snapshot-of-remembered-size", size, len(data) / size, "bytes-a-request")


def _records(size: int) -> None:
    puts = [_put(number) for number in range(size)]
    store = _filled_store(puts)
    used, took_s = _measure(lambda: _filled_store(puts))
    _tell("record-revision-memory", size, used / size, "bytes")
    _tell("record-put", size, took_s / size * US_PER_S, "us")
    newest = store.since(store.revision - 1)
    _tell("record-revision-on-the-wire", size, len(encode_revisions(newest)), "bytes")
    began = time.process_time()
    store.since(store.revision - 1)
    _tell("records-since", size, (time.process_time() - began) * MS_PER_S, "ms")


def _command_sizes(members: int) -> None:
    accept = _accept(1, members)
    _tell("accept-in-the-log", members, len(accept.SerializeToString()), "bytes")
    finish = pb.Command(finish=pb.Finish(request_id=_id(1), attempt=1, answers=[ANSWER] * members))
    _tell("finish-in-the-log", members, len(finish.SerializeToString()), "bytes")


def _measure(work: Callable[[], object]) -> tuple[int, float]:
    """Return the bytes that a piece of work leaves behind, and its processor seconds."""
    gc.collect()
    began = time.process_time()
    kept = work()
    took_s = time.process_time() - began
    del kept
    return _bytes_of(work), took_s


def _bytes_of(work: Callable[[], object]) -> int:
    """Do the work again under tracemalloc and return the bytes that its result holds."""
    gc.collect()
    tracemalloc.start()
    kept = work()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


def _filled_machine(commands: list[bytes]) -> CellMachine:
    machine = CellMachine("zone-1")
    for index, command in enumerate(commands):
        machine.apply(index, command)
    return machine


def _life(number: int) -> Iterator[bytes]:
    yield _accept(number).SerializeToString()
    finish = pb.Finish(request_id=_id(number), attempt=1, answers=[ANSWER], wall_ms=number)
    yield pb.Command(finish=finish).SerializeToString()


def _accept(number: int, members: int = 1) -> pb.Command:
    placements = [
        pb.Placement(member=m, worker=f"worker-{m % 610}", incarnation="b7c1", accelerators=1)
        for m in range(members)
    ]
    spec = RequestSpec(
        id=_id(number),
        team=f"team-{number % 49}",
        job="barn-count",
        key=f"key-{number}",
        body_digest=number.to_bytes(32, "big"),
        payload=PAYLOAD,
        demand=Demand(members=members, accelerators=1, adjacency=Adjacency.RACK),
        urgency=Urgency.NORMAL,
        idempotent=True,
        preemptible=True,
        checkpointable=True,
        max_attempts=3,
        declared_run_ms=1_000,
        deadline_wall_ms=0,
        submitted_wall_ms=number,
    )
    return pb.Command(accept=pb.Accept(spec=spec_to_pb(spec), placements=placements))


def _filled_store(puts: list[RecordPut]) -> RecordStore:
    store = RecordStore()
    for put in puts:
        store.put(put)
    return store


def _put(number: int) -> RecordPut:
    """Make a put of one of 100 jobs, each put replacing the job's version before."""
    content = {"urgency": "normal", "idempotent": True, "declared_run_ms": 1 + number}
    body = {"schema": "v2", "replaces": number // 100, "content": content}
    put: RecordPut = parse_put("job", f"job-{number % 100}", body).ok
    return put


def _id(number: int) -> str:
    return f"zone-1.{number:032x}"


def _tell(what: str, size: int, value: float, unit: str) -> None:
    print(f"capacity {what} size={size} {value:.1f} {unit}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
