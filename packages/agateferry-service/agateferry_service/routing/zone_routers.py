"""The routers to all availability zones and to the records plane."""

import random

from agateferry_core.clock import Clock
from agateferry_core.metrics import Metrics
from agateferry_service.routing.channels import Channels
from agateferry_service.routing.router import GroupHost, Router
from agateferry_service.settings import Settings


class ZoneRouters:
    """Hold a router for each zone and one for the records plane."""

    def __init__(
        self,
        settings: Settings,
        channels: Channels,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        host = settings.host.name
        members: dict[str, list[GroupHost]] = {}
        for peer in settings.peers:
            members.setdefault(peer.zone, []).append(GroupHost(peer.name, str(peer.peers)))
        self.names = tuple(sorted(members))
        self._routers = {
            zone: Router(host, hosts, channels, clock, metrics, rng, settings.timeouts.rpc_ms)
            for zone, hosts in members.items()
        }
        voters = [GroupHost(peer.name, str(peer.peers)) for peer in settings.records_voters()]
        self.records = Router(host, voters, channels, clock, metrics, rng, settings.timeouts.rpc_ms)

    def router(self, zone: str) -> Router:
        """Return the router to a zone's cell."""
        return self._routers[zone]
