"""Sums of the four resources of a worker: accelerators, slots, processor cores and memory."""

from dataclasses import dataclass

from agateferry_core.demand import Demand, Worker


@dataclass(slots=True)
class Resources:
    """Numbers of accelerators, slots, processor cores and MB of memory; each may be negative."""

    accelerators: int = 0
    slots: int = 0
    cpu: int = 0
    memory: int = 0

    def add(self, demand: Demand, members: int) -> None:
        """Add the demand of this many members; a negative number subtracts it."""
        self.accelerators += demand.accelerators * members
        self.slots += members
        self.cpu += demand.cpu_cores * members
        self.memory += demand.memory_mb * members

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, resource by resource."""
        return Resources(
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.cpu - other.cpu,
            self.memory - other.memory,
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum, resource by resource."""
        return Resources(
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.cpu + other.cpu,
            self.memory + other.memory,
        )

    def is_negative(self) -> bool:
        """Return whether any resource is below zero."""
        return min(self.accelerators, self.slots, self.cpu, self.memory) < 0

    def fitting_members(self, demand: Demand) -> int:
        """Return how many members of the demand fit, at most all of them."""
        fitting = min(self.slots, demand.members)
        if demand.accelerators:
            fitting = min(fitting, self.accelerators // demand.accelerators)
        if demand.cpu_cores:
            fitting = min(fitting, self.cpu // demand.cpu_cores)
        if demand.memory_mb:
            fitting = min(fitting, self.memory // demand.memory_mb)
        return max(fitting, 0)


def total_resources(worker: Worker) -> Resources:
    """Return the whole capacity of a worker."""
    return Resources(worker.accelerators, worker.slots, worker.cpu_cores, worker.memory_mb)


def proportional_resources(worker: Worker, accelerators: int) -> Resources:
    """Return the part of a worker's resources that belongs to this many of its accelerators.

    Cores and memory are divided in proportion, and so are slots, with at most one slot for each
    accelerator. For example two of eight accelerators on a worker with 32 cores and 8 slots come
    with 8 cores and 2 slots.
    """
    if worker.accelerators == 0:
        return Resources()
    slots = min(accelerators, worker.slots * accelerators // worker.accelerators)
    cpu = worker.cpu_cores * accelerators // worker.accelerators
    memory = worker.memory_mb * accelerators // worker.accelerators
    return Resources(accelerators, slots, cpu, memory)
