"""The replicas that one host holds: its zone's cell and perhaps the records plane."""

import random

import grpc

from agateferry_core.clock import Clock
from agateferry_core.metrics import Metrics
from agateferry_service.settings import Settings
from agateferry_state.replica import Replica, StateMachine
from agateferry_state.replica.solo import SoloReplica


class Replicas:
    """Make a host's replicas and carry what they say to their peers."""

    def __init__(
        self, settings: Settings, clock: Clock, metrics: Metrics, rng: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock

    def cell(self, machine: StateMachine) -> Replica:
        """Return this host's replica of its zone's cell."""
        return self._solo("cell", machine)

    def records(self, machine: StateMachine) -> Replica:
        """Return this host's replica of the records plane."""
        return self._solo("records", machine)

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve the replicas' peers on the host's peers' port."""

    async def close(self) -> None:
        """Close the connections to peers."""

    def _solo(self, group: str, machine: StateMachine) -> Replica:
        host = self._settings.host
        if host.data_folder is None:
            raise OSError("a host that votes alone needs host.data_folder")
        return SoloReplica.open(host.data_folder / group, machine, host.name, self._clock)
