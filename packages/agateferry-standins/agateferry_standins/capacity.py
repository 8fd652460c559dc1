"""Measure the costs per request and record from which docs/CAPACITY.md estimates each role.

For example `python -m agateferry_standins.capacity`. Each line is
`capacity NAME size=N value unit`, for three sizes; memory is what `tracemalloc` counts for the
objects that remain, and processor time is that of this process.
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
GANG_SIZES = (1, 8, 64)
PAYLOAD = "barn 12, truck 7, 40 sacks"
ANSWER = "counted: 40 sacks in barn 12"
US_PER_S = 1_000_000
MS_PER_S = 1_000


def main() -> int:
    """Print the figures for every size."""
    for size in SIZES:
        _measure_running_requests(size)
    for size in SIZES:
        _measure_ended_requests(size)
    for size in RECORD_SIZES:
        _measure_records(size)
    for members in GANG_SIZES:
        _measure_command_sizes(members)
    return 0


def _measure_running_requests(size: int) -> None:
    accepts = [_accept_command(number).SerializeToString() for number in range(size)]
    used_bytes, took_s = _measure(lambda: _machine_after(accepts))
    machine = _machine_after(accepts)
    _print_figure("running-request-memory", size, used_bytes / size, "bytes")
    _print_figure("accept-and-place", size, took_s / size * US_PER_S, "us")
    started_s = time.process_time()
    data = machine.snapshot()
    _print_figure("snapshot-time", size, (time.process_time() - started_s) * MS_PER_S, "ms")
    _print_figure("snapshot-size", size, len(data) / size, "bytes-a-request")


def _measure_ended_requests(size: int) -> None:
    commands = [command for number in range(size) for command in _accept_and_finish(number)]
    used_bytes, took_s = _measure(lambda: _machine_after(commands))
    _print_figure("remembered-request-memory", size, used_bytes / size, "bytes")
    _print_figure("whole-life", size, took_s / size * US_PER_S, "us")
    machine = _machine_after(commands)
    started_s = time.process_time()
    data = machine.snapshot()
    _print_figure(
        "snapshot-of-remembered", size, (time.process_time() - started_s) * MS_PER_S, "ms"
    )
    _print_figure("snapshot-of-remembered-size", size, len(data) / size, "bytes-a-request")


def _measure_records(size: int) -> None:
    puts = [_record_put(number) for number in range(size)]
    store = _store_after(puts)
    used_bytes, took_s = _measure(lambda: _store_after(puts))
    _print_figure("record-revision-memory", size, used_bytes / size, "bytes")
    _print_figure("record-put", size, took_s / size * US_PER_S, "us")
    newest = store.since(store.revision - 1)
    _print_figure("record-revision-on-the-wire", size, len(encode_revisions(newest)), "bytes")
    started_s = time.process_time()
    store.since(store.revision - 1)
    _print_figure("records-since", size, (time.process_time() - started_s) * MS_PER_S, "ms")


def _measure_command_sizes(members: int) -> None:
    accept = _accept_command(1, members)
    _print_figure("accept-in-the-log", members, len(accept.SerializeToString()), "bytes")
    finish = pb.Command(
        finish=pb.Finish(request_id=_request_id(1), attempt=1, answers=[ANSWER] * members)
    )
    _print_figure("finish-in-the-log", members, len(finish.SerializeToString()), "bytes")


def _measure(work: Callable[[], object]) -> tuple[int, float]:
    """Return the bytes that the result of `work` holds, and its processor time in seconds."""
    gc.collect()
    started_s = time.process_time()
    result = work()
    took_s = time.process_time() - started_s
    del result
    return _allocated_bytes(work), took_s


def _allocated_bytes(work: Callable[[], object]) -> int:
    """Repeat `work` under tracemalloc and return the bytes that its result holds."""
    gc.collect()
    tracemalloc.start()
    result = work()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return used_bytes


def _machine_after(commands: list[bytes]) -> CellMachine:
    machine = CellMachine("zone-1")
    for index, command in enumerate(commands):
        machine.apply(index, command)
    return machine


def _accept_and_finish(number: int) -> Iterator[bytes]:
    yield _accept_command(number).SerializeToString()
    finish = pb.Finish(request_id=_request_id(number), attempt=1, answers=[ANSWER], wall_ms=number)
    yield pb.Command(finish=finish).SerializeToString()


def _accept_command(number: int, members: int = 1) -> pb.Command:
    placements = [
        pb.Placement(member=m, worker=f"worker-{m % 610}", incarnation="b7c1", accelerators=1)
        for m in range(members)
    ]
    spec = RequestSpec(
        id=_request_id(number),
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


def _store_after(puts: list[RecordPut]) -> RecordStore:
    store = RecordStore()
    for put in puts:
        store.put(put)
    return store


def _record_put(number: int) -> RecordPut:
    """Return a put of one of 100 jobs, which replaces the previous version of the job."""
    content = {"urgency": "normal", "idempotent": True, "declared_run_ms": 1 + number}
    body = {"schema": "v2", "replaces": number // 100, "content": content}
    put: RecordPut = parse_put("job", f"job-{number % 100}", body).ok
    return put


def _request_id(number: int) -> str:
    return f"zone-1.{number:032x}"


def _print_figure(name: str, size: int, value: float, unit: str) -> None:
    print(f"capacity {name} size={size} {value:.1f} {unit}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
