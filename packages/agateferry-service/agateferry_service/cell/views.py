"""Operators' views of a zone, as JSON documents."""

import json
from dataclasses import asdict
from typing import Any

from agateferry_service.cell.leader import CellLeader
from agateferry_service.cell.refusals import RefusalReason, refusal
from agateferry_service.endpoints.registry import RegisteredWorker
from agateferry_service.rpc import cell_pb2 as pb

MAX_QUEUE_ENTRIES = 1_000


class CellViews:
    """Answer operators' queries from the leader's state."""

    def __init__(self, leader: CellLeader) -> None:
        self._leader = leader

    def answer(self, what: str, name: str) -> pb.QueryReply:
        """Answer one query: workers, teams, queue, evacuation or explain."""
        match what:
            case "workers":
                return _reply({"workers": self._workers()})
            case "teams":
                return _reply({"teams": self._teams()})
            case "queue":
                return _reply({"requests": self._queue()})
            case "evacuation":
                return _reply(self._evacuation())
            case "explain":
                return self._explain(name)
        detail = f"unknown query: {what}"
        return pb.QueryReply(refusal=refusal(RefusalReason.INVALID, detail))

    def _workers(self) -> list[dict[str, Any]]:
        machine = self._leader.ctx.machine
        used: dict[str, tuple[int, int]] = {}
        for request in machine.ledger.open_requests():
            for placement in request.placements:
                slots, accelerators = used.get(placement.worker, (0, 0))
                used[placement.worker] = (slots + 1, accelerators + placement.accelerators)
        return [self._worker(item, used.get(item.worker.name, (0, 0))) for item in machine.registry]

    def _worker(self, registered: RegisteredWorker, used: tuple[int, int]) -> dict[str, Any]:
        worker = registered.worker
        last_heartbeat_ms = self._leader.worker_monitor.last_heartbeat_ms(worker.name)
        now_ms = self._leader.ctx.clock.now_ms()
        quarantined = worker.name in self._leader.quarantined
        return {
            "name": worker.name,
            "zone": worker.zone,
            "rack": worker.rack,
            "state": registered.state.value,
            "accelerators": worker.accelerators,
            "accelerators_free": worker.accelerators - used[1],
            "slots": worker.slots,
            "slots_free": worker.slots - used[0],
            "last_seen_ms": None if last_heartbeat_ms is None else now_ms - last_heartbeat_ms,
            "health": "quarantined" if quarantined else "healthy",
        }

    def _teams(self) -> list[dict[str, Any]]:
        counts: dict[str, list[int]] = {}
        for request in self._leader.ctx.machine.ledger.open_requests():
            team = counts.setdefault(request.spec.team, [0, 0, 0])
            team[0] += sum(placement.accelerators for placement in request.placements)
            team[1 if request.has_active_attempt else 2] += 1
        return [
            {
                "name": team.name,
                "guarantee": [asdict(shape) for shape in team.guarantee],
                "accelerators_held": counts.get(team.name, [0, 0, 0])[0],
                "running": counts.get(team.name, [0, 0, 0])[1],
                "queued": counts.get(team.name, [0, 0, 0])[2],
                "at_risk": team.name in self._leader.at_risk,
            }
            for team in self._leader.ctx.catalog.teams()
        ]

    def _queue(self) -> list[dict[str, Any]]:
        wall_ms = self._leader.ctx.clock.wall_ms()
        listed: list[dict[str, Any]] = []
        for request in self._leader.ctx.machine.ledger.open_requests():
            if len(listed) == MAX_QUEUE_ENTRIES:
                break
            listed.append(
                {
                    "id": request.id,
                    "team": request.spec.team,
                    "job": request.spec.job,
                    "urgency": request.spec.urgency.value,
                    "state": request.state.value,
                    "waiting_ms": wall_ms - request.spec.submitted_wall_ms,
                }
            )
        return listed

    def _evacuation(self) -> dict[str, Any]:
        """Return whether the zone obeys an evacuation, with what still runs and waits there."""
        machine = self._leader.ctx.machine
        active = [request.has_active_attempt for request in machine.ledger.open_requests()]
        return {
            "evacuated": machine.catalog.evacuation() is not None,
            "running": sum(active),
            "queued": len(active) - sum(active),
        }

    def _explain(self, request_id: str) -> pb.QueryReply:
        request = self._leader.ctx.machine.ledger.get(request_id)
        if request is None:
            detail = f"no request {request_id} is known"
            return pb.QueryReply(refusal=refusal(RefusalReason.UNKNOWN_REQUEST, detail))
        explanation = asdict(self._leader.driver().explain(request_id))
        explanation["state"] = request.state.value
        return _reply(explanation)


def _reply(document: dict[str, Any]) -> pb.QueryReply:
    return pb.QueryReply(body=json.dumps(document))
