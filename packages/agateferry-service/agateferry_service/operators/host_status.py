"""The status of every host's replicas of its cell and of the records plane."""

import asyncio
from typing import Any

import aiohttp

from agateferry_service.cell.cell import Cell
from agateferry_service.records.plane import RecordsPlane
from agateferry_service.settings import PeerSettings, Settings
from agateferry_state.replica import NodeReplica, NodeStatus, Replica

STATUS_TIMEOUT_S = 1.0


class HostStatusReader:
    """Collect the replica status of every host of the system over its operators' port."""

    def __init__(self, settings: Settings, cell: Cell, plane: RecordsPlane | None) -> None:
        self._settings = settings
        self._cell = cell
        self._plane = plane

    def own_status(self) -> dict[str, Any]:
        """Return the status of this host's replicas."""
        host = self._settings.host
        replica = self._cell.ctx.replica
        document = {
            "host": host.name,
            "zone": host.zone,
            "reachable": True,
            **replica_status(replica),
            "records": {"revision": self._cell.ctx.machine.records.revision},
        }
        if self._plane is not None:
            document["records"].update(replica_status(self._plane.replica))
        return document

    async def all_statuses(self) -> list[dict[str, Any]]:
        """Return the status of every host; one without a valid reply is marked unreachable."""
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            statuses = (self._fetch_status(session, peer) for peer in self._settings.peers)
            return list(await asyncio.gather(*statuses))

    async def _fetch_status(
        self, session: aiohttp.ClientSession, peer: PeerSettings
    ) -> dict[str, Any]:
        if peer.name == self._settings.host.name:
            return self.own_status()
        try:
            async with session.get(f"http://{peer.operators}/v1/cell") as resp:
                document: dict[str, Any] = await resp.json()
                return document
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return {"host": peer.name, "zone": peer.zone, "reachable": False}


def replica_status(replica: Replica) -> dict[str, Any]:
    """Return the role, term, leader and members of a group, as a replica knows them."""
    status = replica.status() if isinstance(replica, NodeReplica) else None
    log_position = {} if status is None else _log_position(status)
    return {
        **log_position,
        "term": replica.term,
        "role": "leader" if replica.is_leader else "follower",
        "leader": replica.leader,
        "members": _members(status),
    }


def _log_position(status: NodeStatus) -> dict[str, Any]:
    """Return the replica's incarnation and last log entry, so that operators compare hosts."""
    return {
        "incarnation": status.incarnation,
        "log": {"term": status.last_term, "index": status.last_index},
    }


def _members(status: NodeStatus | None) -> list[dict[str, Any]]:
    """Return the members of a group; a member that is not a voter is a learner."""
    if status is None:
        return []
    return [
        {
            "host": member.host,
            "incarnation": member.incarnation,
            "voter": member.is_voter,
            "disk": member.has_disk,
        }
        for member in status.members
    ]
