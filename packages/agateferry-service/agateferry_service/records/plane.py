"""One host's part of the records plane, the replicated log of operators' records."""

import asyncio
import contextlib
import json
from typing import Any

from agateferry_core.metrics import Metrics
from agateferry_service.cell.proposer import refusal_for_propose_error
from agateferry_service.cell.refusals import RefusalReason, not_leader, refusal
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.records import (
    Accepted,
    Conflict,
    Invalid,
    Kind,
    PutOutcome,
    RecordsMachine,
    RecordStore,
    Revision,
    Schema,
    encode_put,
    encode_revisions,
    parse_put,
    render_content,
)
from agateferry_state.replica import Replica

NEWEST_REVISION = "newest"


class NotifyingRecordsMachine(RecordsMachine):
    """The state machine of the records plane, which wakes waiting calls when it changes."""

    def __init__(self) -> None:
        super().__init__()
        self._changed = asyncio.Event()

    def apply(self, index: int, command: bytes) -> PutOutcome:
        """Apply a committed put and wake waiting calls."""
        result = super().apply(index, command)
        self._wake_waiters()
        return result

    def restore(self, data: bytes) -> None:
        """Replace the whole store with a snapshot and wake waiting calls."""
        super().restore(data)
        self._wake_waiters()

    async def wait_until_newer(self, revision: int, wait_ms: int) -> None:
        """Wait until the store has a revision after `revision`, for at most `wait_ms`."""
        if self.store.revision > revision or wait_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self._changed.wait()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class RecordsPlane:
    """Serve puts and reads while this host leads, and revisions to the zones at any time."""

    def __init__(
        self, host: str, machine: NotifyingRecordsMachine, replica: Replica, metrics: Metrics
    ) -> None:
        self._host = host
        self._machine = machine
        self._replica = replica
        self._metrics = metrics

    @property
    def replica(self) -> Replica:
        """Return this host's replica of the records plane."""
        return self._replica

    async def put(self, req: pb.PutRecordRequest) -> pb.QueryReply:
        """Store a new version of a record, and reply after it is committed."""
        if not self._replica.is_leader:
            return pb.QueryReply(refusal=self._not_leader())
        body = {
            "schema": req.schema,
            "replaces": req.replaces,
            "content": json.loads(req.content),
        }
        put = parse_put(req.kind, req.name, body)
        if put.is_error():
            return self._refuse(RefusalReason.INVALID, str(put.error))
        result = await self._replica.propose(encode_put(put.ok))
        if result.is_error():
            return pb.QueryReply(refusal=refusal_for_propose_error(result.error))
        return self._put_reply(result.ok.result, Schema(req.schema))

    async def read(self, req: pb.QueryRequest) -> pb.QueryReply:
        """Answer a query of records as of the newest commit; for `req`, see `read_records`."""
        if not self._replica.is_leader or (await self._replica.read_barrier()).is_error():
            return pb.QueryReply(refusal=self._not_leader())
        return read_records(self._machine.store, req)

    async def since(self, req: pb.RecordsRequest) -> pb.RecordsReply:
        """Return the revisions after `after_revision`; wait up to `wait_ms` until there is one."""
        await self._machine.wait_until_newer(req.after_revision, req.wait_ms)
        store = self._machine.store
        revisions = store.since(req.after_revision)
        return pb.RecordsReply(revisions=encode_revisions(revisions), newest=store.revision)

    def _put_reply(self, result: Any, schema: Schema) -> pb.QueryReply:
        match result:
            case Accepted(revision=revision):
                return pb.QueryReply(body=json.dumps(revision_json(revision, schema)))
            case Conflict(current=current):
                self._metrics.refused(RefusalReason.VERSION_CONFLICT)
                refused = refusal(RefusalReason.VERSION_CONFLICT, "the record has another version")
                refused.current = json.dumps(revision_json(current, schema) if current else None)
                return pb.QueryReply(refusal=refused)
            case Invalid():
                return self._refuse(RefusalReason.INVALID, str(result))
        raise TypeError(f"unknown result of a put of a record: {result!r}")

    def _refuse(self, reason: RefusalReason, detail: str) -> pb.QueryReply:
        self._metrics.refused(reason)
        return pb.QueryReply(refusal=refusal(reason, detail))

    def _not_leader(self) -> pb.Refusal:
        leader = self._replica.leader
        return not_leader(None if leader == self._host else leader)


def revision_json(revision: Revision, schema: Schema) -> dict[str, Any]:
    """Return the JSON document of a record's revision, with its content in the given schema."""
    return {
        "kind": revision.kind.value,
        "name": revision.name,
        "version": revision.version,
        "revision": revision.number,
        "schema": schema.value,
        "content": render_content(revision.record, schema),
    }


def read_records(store: RecordStore, req: pb.QueryRequest) -> pb.QueryReply:
    """Answer a query of `store`, which is the records plane's or a zone's copy.

    `req.what` is `newest` for the newest revision's number. Otherwise it is `get`, `list` or
    `history`, and `req.name` is `kind/name/schema`, with an empty name for `list`.
    """
    if req.what == NEWEST_REVISION:
        return pb.QueryReply(body=json.dumps({"revision": store.revision}))
    kind_text, name, schema_text = req.name.split("/")
    kind, schema = Kind(kind_text), Schema(schema_text)
    match req.what:
        case "list":
            records = [
                revision_json(revision, schema) for revision in store.current_revisions(kind)
            ]
            return pb.QueryReply(body=json.dumps({"records": records}))
        case "history":
            versions = [revision_json(revision, schema) for revision in store.history(kind, name)]
            return pb.QueryReply(body=json.dumps({"versions": versions}))
    revision = store.get(kind, name)
    if revision is None:
        detail = f"no {kind.value} record is named {name}"
        return pb.QueryReply(refusal=refusal(RefusalReason.UNKNOWN_RECORD, detail))
    return pb.QueryReply(body=json.dumps(revision_json(revision, schema)))
