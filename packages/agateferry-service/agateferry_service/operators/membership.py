"""Operators' changes to the members of this host's replicated logs.

Each call can be a dry run, which returns what the call would do now and changes nothing. A change
that the replication core rejects as unsafe is refused with the same reason.
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

COMMIT_TIMEOUT_S = 5.0
MAX_LOST_HOSTS = 32


class Group(StrEnum):
    """A replicated log: that of the zone's cell or that of the records plane."""

    CELL = "cell"
    RECORDS = "records"


class MembersBody(BaseModel):
    """The body of a request to admit or remove one member."""

    model_config = ConfigDict(extra="forbid", strict=True)

    group: Group
    action: MemberAction
    host: str = Field(min_length=1, max_length=64)
    dry_run: bool = False


class RecoveryBody(BaseModel):
    """The body of a request for forced recovery, with the hosts that are permanently lost."""

    model_config = ConfigDict(extra="forbid", strict=True)

    group: Group
    lost: list[str] = Field(max_length=MAX_LOST_HOSTS)
    dry_run: bool = False


class MembershipChanges:
    """Execute an operator's membership change or forced recovery, or preview it."""

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
        """Admit or remove a member; only the leader of the group accepts this."""
        parsed = await self._read(req, MembersBody)
        if parsed.is_error():
            return parsed.error
        body = parsed.ok
        result = await self._change(body)
        if result.is_error():
            return self._refusal_response(body, result.error)
        if result.ok["changed"] and not body.dry_run:
            self._log.info(MEMBERS_CHANGED, asked=body.model_dump(mode="json"))
        return JSONResponse(result.ok)

    async def recover(self, req: Request) -> Response:
        """Make this host's log authoritative after the group has permanently lost its quorum.

        It is refused while a leader is known or another voter still runs with its log.
        """
        parsed = await self._read(req, RecoveryBody)
        if parsed.is_error():
            return parsed.error
        body = parsed.ok
        result = await self._recover(body)
        if result.is_error():
            return self._refusal_response(body, result.error)
        if not body.dry_run:
            self._log.warning(RECOVERY_FORCED, asked=body.model_dump(mode="json"))
        return JSONResponse(result.ok)

    async def _change(self, body: MembersBody) -> Result[dict[str, Any], MembershipRefusal]:
        peer = next((peer for peer in self._settings.peers if peer.name == body.host), None)
        if body.group is Group.CELL and peer is not None and peer.zone != self._settings.host.zone:
            detail = f"{body.host} is a host of {peer.zone}; send this to a host of that zone"
            return Error(MembershipRefusal(421, "wrong-zone", detail))
        node = self._nodes.get(body.group)
        if node is None:
            return Error(self._no_replica())
        preview = node.preview_change(body.action, body.host)
        if preview.is_error():
            if preview.error.detail == RejectReason.NOT_NEEDED:
                return Ok(self._unchanged(body, node))
            return Error(self._membership_refusal(preview.error, body.host))
        if not body.dry_run:
            member = Member(MemberId(body.host))
            result = await _wait_for_commit(node.change_member(body.action, member))
            if result.is_error():
                return Error(self._membership_refusal(result.error, body.host))
        warnings = _removal_warnings(body.host, preview.ok) if _removes(body) else []
        return Ok(self._document(body, preview.ok, warnings, changed=True))

    async def _recover(self, body: RecoveryBody) -> Result[dict[str, Any], MembershipRefusal]:
        node = self._nodes.get(body.group)
        status = node.status() if node is not None else None
        if node is None or status is None:
            return Error(self._no_replica())
        if status.leader is not None:
            detail = f"{status.leader} leads, so no quorum is lost"
            return Error(MembershipRefusal(409, RejectReason.NOT_NEEDED, detail))
        running = await self._voters_still_running(body.group, status)
        if running:
            names = ", ".join(running)
            detail = f"{names} still run(s) with a log of this group; stop these hosts first"
            return Error(MembershipRefusal(409, RejectReason.UNSAFE, detail))
        lost = frozenset(
            MemberId(member.host, member.incarnation)
            for member in status.members
            if member.host in body.lost
        )
        preview = node.preview_recovery(lost)
        if preview.is_error():
            return Error(self._recovery_refusal(preview.error, status, body.lost))
        if not body.dry_run:
            result = await _wait_for_commit(node.force_recovery(lost))
            if result.is_error():
                return Error(self._recovery_refusal(result.error, status, body.lost))
        document = self._document(body, preview.ok, _recovery_warnings(status), changed=True)
        return Ok(document | {"log": {"term": status.last_term, "index": status.last_index}})

    async def _voters_still_running(self, group: Group, status: NodeStatus) -> list[str]:
        """Return the other voters that reply and still have their log.

        A voter whose host restarted with an empty data folder has another incarnation.
        """
        host_statuses = {
            host_status["host"]: host_status
            for host_status in await self._hosts.all_statuses()
            if host_status["reachable"]
        }
        running = []
        for voter in status.members:
            host_status = host_statuses.get(voter.host)
            if not voter.is_voter or host_status is None or voter.host == status.host:
                continue
            replica = host_status if group is Group.CELL else host_status["records"]
            if replica.get("incarnation", voter.incarnation) == voter.incarnation:
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
            "voters": [member.id.host for member in members.voters],
            "learners": [member.id.host for member in members.learners],
            "removed": list(members.removed),
            "warnings": list(warnings),
        }

    def _membership_refusal(self, error: ProposeError, host: str) -> MembershipRefusal:
        addresses = {peer.name: str(peer.operators) for peer in self._settings.peers}
        return membership_refusal(error, host, addresses.get(error.leader or "", ""))

    def _recovery_refusal(
        self, error: ProposeError, status: NodeStatus, lost: Sequence[str]
    ) -> MembershipRefusal:
        if error.detail != RejectReason.UNSAFE:
            return self._membership_refusal(error, status.host)
        voters = {member.host for member in status.members if member.is_voter}
        if status.host not in voters:
            detail = (
                f"{status.host} is not a voter in its own log, which may be empty; use another host"
            )
            return MembershipRefusal(409, RejectReason.UNSAFE, detail)
        missing = ", ".join(sorted(voters - {status.host, *lost}))
        detail = f"name every voter that is permanently lost; not named: {missing}"
        return MembershipRefusal(409, RejectReason.UNSAFE, detail)

    def _no_replica(self) -> MembershipRefusal:
        voters = (f"{p.name} at {p.operators}" for p in self._settings.records_voters())
        detail = f"this host has no replica of this log; these hosts have one: {', '.join(voters)}"
        return MembershipRefusal(503, "no-voter", detail)

    def _refusal_response(self, body: BaseModel, refusal: MembershipRefusal) -> Response:
        self._metrics.refused(refusal.reason)
        request = body.model_dump(mode="json")
        self._log.info(
            MEMBERSHIP_CHANGE_REFUSED, reason=refusal.reason, detail=refusal.detail, asked=request
        )
        return problem(refusal.status, refusal.reason, refusal.detail, run=None)


async def _wait_for_commit(change: Any) -> Result[Any, ProposeError]:
    """Wait until a change is committed or rejected; after a timeout its outcome is unknown."""
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            result: Result[Any, ProposeError] = await change
            return result
    except TimeoutError:
        return Error(ProposeError(ProposeErrorKind.UNKNOWN))


def _removes(body: MembersBody) -> bool:
    return body.action is MemberAction.REMOVE


def _removal_warnings(host: str, members_after: Members) -> list[str]:
    voters_with_disk = sum(1 for member in members_after.voters if member.has_disk)
    tolerated_failures = (len(members_after.voters) - 1) // 2
    return [
        f"without {host}, {voters_with_disk} voter(s) with a disk are left",
        f"of the {len(members_after.voters)} voter(s) left, {tolerated_failures} may fail before "
        "the group stops",
    ]


def _recovery_warnings(status: NodeStatus) -> list[str]:
    other_hosts = ", ".join(member.host for member in status.members if member.host != status.host)
    return [
        f"entries after term {status.last_term}, index {status.last_index} are not in the log of "
        f"{status.host} and are permanently lost, even if they were committed",
        f"the logs on {other_hosts or 'other hosts'} become invalid; restart those hosts with an "
        "empty data folder",
    ]
