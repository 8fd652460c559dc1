"""Amounts of the four things that a worker gives: accelerators, slots, processor and memory."""

from dataclasses import dataclass

from agateferry_core.demand import Demand, Worker


@dataclass(slots=True)
class Amount:
    """So many accelerators, slots, processor cores and MB of memory; parts may be negative."""

    accelerators: int = 0
    slots: int = 0
    cpu: int = 0
    memory: int = 0

    def add(self, demand: Demand, members: int) -> None:
        """Add the share of so many members; a negative number takes it away."""
        self.accelerators += demand.accelerators * members
        self.slots += members
        self.cpu += demand.cpu_cores * members
        self.memory += demand.memory_mb * members

    def minus(self, other: "Amount") -> "Amount":
        """Return what is left after taking the other amount away."""
        return Amount(
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.cpu - other.cpu,
            self.memory - other.memory,
        )

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum of both amounts."""
        return Amount(
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.cpu + other.cpu,
            self.memory + other.memory,
        )

    def is_negative(self) -> bool:
        """Tell whether any part lies below zero."""
        return min(self.accelerators, self.slots, self.cpu, self.memory) < 0

    def fitting_members(self, demand: Demand) -> int:
        """Return how many members of the demand fit."""
        room = min(self.slots, demand.members)
        if demand.accelerators:
            room = min(room, self.accelerators // demand.accelerators)
        if demand.cpu_cores:
            room = min(room, self.cpu // demand.cpu_cores)
        if demand.memory_mb:
            room = min(room, self.memory // demand.memory_mb)
        return max(room, 0)


def total_resources(worker: Worker) -> Amount:
    """Return all that a worker gives."""
    return Amount(worker.accelerators, worker.slots, worker.cpu_cores, worker.memory_mb)


def proportional_resources(worker: Worker, accelerators: int) -> Amount:
    """Return what goes with so many of a worker's accelerators.

    Processor and memory go in proportion, and one slot goes with each accelerator. For example two
    of eight accelerators on a worker with 32 cores come with 8 cores and 2 slots.
    """
    if worker.accelerators == 0:
        return Amount()
    slots = min(accelerators, worker.slots * accelerators // worker.accelerators)
    cpu = worker.cpu_cores * accelerators // worker.accelerators
    memory = worker.memory_mb * accelerators // worker.accelerators
    return Amount(accelerators, slots, cpu, memory)
