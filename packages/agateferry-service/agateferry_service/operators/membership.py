"""Operators' words on the members of this host's replicated logs.

Each call can be a dry run, which tells what would happen now and changes nothing. What the logs
themselves refuse as unsafe is refused here with the same reason.
"""

import asyncio
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_service.http.bodies import ModelT, read_model
from agateferry_service.http.problems import problem
from agateferry_service.operators.events import (
    MEMBERS_CHANGED,
    MEMBERSHIP_CHANGE_REFUSED,
    RECOVERY_FORCED,
)
from agateferry_service.operators.host_status import HostStatusReader
from agateferry_service.operators.refusals import MembershipRefusal, membership_refusal
from agateferry_service.settings import Settings
from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica import NodeReplica, NodeStatus, ProposeError, ProposeErrorKind
from agateferry_state.replication.messages import MemberAction, RejectReason

ANSWER_WITHIN_S = 5.0
MAX_LOST = 32


class Group(StrEnum):
    """Say which replicated log is meant."""

    CELL = "cell"
    RECORDS = "records"


class MembersBody(BaseModel):
    """A change of one member."""

    model_config = ConfigDict(extra="forbid", strict=True)

    group: Group
    action: MemberAction
    host: str = Field(min_length=1, max_length=64)
    dry_run: bool = False


class RecoveryBody(BaseModel):
    """The hosts that are lost for good, where the asked host's log becomes the truth."""

    model_config = ConfigDict(extra="forbid", strict=True)

    group: Group
    lost: list[str] = Field(max_length=MAX_LOST)
    dry_run: bool = False


class MembershipChanges:
    """Carry out an operator's change of members, or tell what it would do."""

    def __init__(
        self,
        settings: Settings,
        nodes: Mapping[Group, NodeReplica],
        hosts: HostStatusReader,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._nodes = nodes
        self._hosts = hosts
        self._metrics = metrics
        self._log = EventLogger(host=settings.host.name, zone=settings.host.zone)

    def routes(self) -> list[Route]:
        """Return the routes on the operators' port."""
        return [
            Route("/v1/cell/members", self.change, methods=["POST"]),
            Route("/v1/cell/recovery", self.recover, methods=["POST"]),
        ]

    async def change(self, req: Request) -> Response:
        """Admit or remove a member; answered by the leader of the group."""
        parsed = await self._read(req, MembersBody)
        if parsed.is_error():
            return parsed.error
        body = parsed.ok
        result = await self._change(body)
        if result.is_error():
            return self._refused(body, result.error)
        if result.ok["changed"] and not body.dry_run:
            self._log.info(MEMBERS_CHANGED, asked=body.model_dump(mode="json"))
        return JSONResponse(result.ok)

    async def recover(self, req: Request) -> Response:
        """Take this host's log as the truth, where no leader and no other log is left."""
        parsed = await self._read(req, RecoveryBody)
        if parsed.is_error():
            return parsed.error
        body = parsed.ok
        result = await self._recover(body)
        if result.is_error():
            return self._refused(body, result.error)
        if not body.dry_run:
            self._log.warning(RECOVERY_FORCED, asked=body.model_dump(mode="json"))
        return JSONResponse(result.ok)

    async def _change(self, body: MembersBody) -> Result[dict[str, Any], MembershipRefusal]:
        peer = next((peer for peer in self._settings.peers if peer.name == body.host), None)
        if body.group is Group.CELL and peer is not None and peer.zone != self._settings.host.zone:
            detail = f"{body.host} is a host of {peer.zone}; ask a host there"
            return Error(MembershipRefusal(421, "wrong-zone", detail))
        node = self._nodes.get(body.group)
        if node is None:
            return Error(self._no_voter())
        preview = node.preview_change(body.action, body.host)
        if preview.is_error():
            if preview.error.detail == RejectReason.NOT_NEEDED:
                return Ok(self._unchanged(body, node))
            return Error(self._refusal_of(preview.error, body.host))
        if not body.dry_run:
            member = Member(MemberId(body.host))
            outcome = await _answered(node.change_member(body.action, member))
            if outcome.is_error():
                return Error(self._refusal_of(outcome.error, body.host))
        warnings = _removal_warnings(body.host, preview.ok) if _removes(body) else []
        return Ok(self._document(body, preview.ok, warnings, changed=True))

    async def _recover(self, body: RecoveryBody) -> Result[dict[str, Any], MembershipRefusal]:
        node = self._nodes.get(body.group)
        status = node.status() if node is not None else None
        if node is None or status is None:
            return Error(self._no_voter())
        if status.leader is not None:
            detail = f"{status.leader} leads, so no quorum is lost"
            return Error(MembershipRefusal(409, RejectReason.NOT_NEEDED, detail))
        running = await self._still_running(body.group, status)
        if running:
            names = ", ".join(running)
            detail = f"{names} still run(s) with a log of this group; stop what is given up first"
            return Error(MembershipRefusal(409, RejectReason.UNSAFE, detail))
        lost = frozenset(
            MemberId(each.host, each.incarnation)
            for each in status.members
            if each.host in body.lost
        )
        preview = node.preview_recovery(lost)
        if preview.is_error():
            return Error(self._recovery_refusal(preview.error, status, body.lost))
        if not body.dry_run:
            outcome = await _answered(node.force_recovery(lost))
            if outcome.is_error():
                return Error(self._recovery_refusal(outcome.error, status, body.lost))
        document = self._document(body, preview.ok, _recovery_warnings(status), changed=True)
        return Ok(document | {"log": {"term": status.last_term, "index": status.last_index}})

    async def _still_running(self, group: Group, status: NodeStatus) -> list[str]:
        """Return the other voters that answer and have not come back empty."""
        documents = {
            each["host"]: each for each in await self._hosts.all_statuses() if each["reachable"]
        }
        running = []
        for voter in status.members:
            document = documents.get(voter.host)
            if not voter.is_voter or document is None or voter.host == status.host:
                continue
            share = document if group is Group.CELL else document["records"]
            if share.get("incarnation", voter.incarnation) == voter.incarnation:
                running.append(voter.host)
        return running

    async def _read(self, req: Request, model: type[ModelT]) -> Result[ModelT, Response]:
        limits = self._settings.limits
        parsed = await read_model(req, model, limits.max_body_bytes, limits.request_body_timeout_ms)
        return parsed.map(lambda pair: pair[0])

    def _unchanged(self, body: MembersBody, node: NodeReplica) -> dict[str, Any]:
        return self._document(body, node.members, [], changed=False)

    def _document(
        self, body: BaseModel, members: Members, warnings: Sequence[str], changed: bool
    ) -> dict[str, Any]:
        return {
            **body.model_dump(mode="json"),
            "asked": self._settings.host.name,
            "zone": self._settings.host.zone,
            "changed": changed,
            "voters": [each.id.host for each in members.voters],
            "learners": [each.id.host for each in members.learners],
            "removed": list(members.removed),
            "warnings": list(warnings),
        }

    def _refusal_of(self, error: ProposeError, host: str) -> MembershipRefusal:
        addresses = {peer.name: str(peer.operators) for peer in self._settings.peers}
        return membership_refusal(error, host, addresses.get(error.leader or "", ""))

    def _recovery_refusal(
        self, error: ProposeError, status: NodeStatus, lost: Sequence[str]
    ) -> MembershipRefusal:
        if error.detail != RejectReason.UNSAFE:
            return self._refusal_of(error, status.host)
        voters = {each.host for each in status.members if each.is_voter}
        if status.host not in voters:
            detail = (
                f"{status.host} is no voter in its own log, so it may hold nothing; ask another"
            )
            return MembershipRefusal(409, RejectReason.UNSAFE, detail)
        missing = ", ".join(sorted(voters - {status.host, *lost}))
        detail = f"name every voter that is lost for good; not named: {missing}"
        return MembershipRefusal(409, RejectReason.UNSAFE, detail)

    def _no_voter(self) -> MembershipRefusal:
        voters = (f"{p.name} at {p.operators}" for p in self._settings.records_voters())
        detail = f"this host has no such log; ask {', '.join(voters)}"
        return MembershipRefusal(503, "no-voter", detail)

    def _refused(self, body: BaseModel, refused: MembershipRefusal) -> Response:
        self._metrics.refused(refused.reason)
        asked = body.model_dump(mode="json")
        self._log.info(
            MEMBERSHIP_CHANGE_REFUSED, reason=refused.reason, detail=refused.detail, asked=asked
        )
        return problem(refused.status, refused.reason, refused.detail, run=None)


async def _answered(change: Any) -> Result[Any, ProposeError]:
    """Wait for the outcome of a change; one that no quorum takes up has none."""
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            result: Result[Any, ProposeError] = await change
            return result
    except TimeoutError:
        return Error(ProposeError(ProposeErrorKind.UNKNOWN))


def _removes(body: MembersBody) -> bool:
    return body.action is MemberAction.REMOVE


def _removal_warnings(host: str, after: Members) -> list[str]:
    disks = sum(1 for member in after.voters if member.has_disk)
    spare = (len(after.voters) - 1) // 2
    return [
        f"the copy on {host} counts no more; {disks} voter(s) with a disk are left",
        f"of the {len(after.voters)} voter(s) left, {spare} may fail before the group stops",
    ]


def _recovery_warnings(status: NodeStatus) -> list[str]:
    others = ", ".join(each.host for each in status.members if each.host != status.host)
    return [
        f"what the log of {status.host} lacks after term {status.last_term}, index "
        f"{status.last_index} is lost for good, though it may have been accepted",
        f"the logs on {others or 'other hosts'} count no more; those hosts come back with an "
        "empty folder",
    ]
