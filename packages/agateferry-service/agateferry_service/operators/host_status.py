"""What each host says of its share in its cell and in the records plane."""

import asyncio
from typing import Any

import aiohttp

from agateferry_service.cell.cell import Cell
from agateferry_service.records.plane import RecordsPlane
from agateferry_service.settings import PeerSettings, Settings
from agateferry_state.replica import NodeReplica, NodeStatus, Replica

ASK_TIMEOUT_S = 1.0


class HostStatusReader:
    """Ask every host of the system, over its operators' port, how it stands."""

    def __init__(self, settings: Settings, cell: Cell, plane: RecordsPlane | None) -> None:
        self._settings = settings
        self._cell = cell
        self._plane = plane

    def own_status(self) -> dict[str, Any]:
        """Return how this host stands."""
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
        """Return how every host stands; one that does not answer is marked unreachable."""
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            asked = (self._ask(session, peer) for peer in self._settings.peers)
            return list(await asyncio.gather(*asked))

    async def _ask(self, session: aiohttp.ClientSession, peer: PeerSettings) -> dict[str, Any]:
        if peer.name == self._settings.host.name:
            return self.own_status()
        try:
            async with session.get(f"http://{peer.operators}/v1/cell") as resp:
                document: dict[str, Any] = await resp.json()
                return document
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return {"host": peer.name, "zone": peer.zone, "reachable": False}


def replica_status(replica: Replica) -> dict[str, Any]:
    """Return the role, the term, the leader and the members that a replica knows of."""
    status = replica.status() if isinstance(replica, NodeReplica) else None
    own = {} if status is None else _own_log(status)
    return {
        **own,
        "term": replica.term,
        "role": "leader" if replica.is_leader else "follower",
        "leader": replica.leader,
        "members": _members(status),
    }


def _own_log(status: NodeStatus) -> dict[str, Any]:
    """Return which incarnation this is and how far its log reaches, for operators to compare."""
    return {
        "incarnation": status.incarnation,
        "log": {"term": status.last_term, "index": status.last_index},
    }


def _members(status: NodeStatus | None) -> list[dict[str, Any]]:
    """Return the members of a replicated group; one that is no voter still catches up."""
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
