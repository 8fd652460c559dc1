"""Types that the request ledger, the scheduler and the workers share."""

from dataclasses import dataclass
from enum import StrEnum


class Adjacency(StrEnum):
    """Where the members of a gang must be placed: anywhere, in one rack or on one worker."""

    ANY = "any"
    RACK = "rack"
    WORKER = "worker"


class Urgency(StrEnum):
    """How soon work must start.

    An URGENT request should start within `urgent_start_ms` of the scheduling settings; a LONG one
    can wait.
    """

    URGENT = "urgent"
    NORMAL = "normal"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Demand:
    """The resources that one request needs: `members` equal tasks that run together or not at all.

    `accelerators`, `cpu_cores` and `memory_mb` are for each member; each member also takes one
    slot. A demand with one member is an ordinary single task.
    """

    members: int = 1
    accelerators: int = 0
    cpu_cores: int = 1
    memory_mb: int = 256
    adjacency: Adjacency = Adjacency.ANY


@dataclass(frozen=True, slots=True)
class Shape:
    """A part of a team's guarantee: `count` groups of accelerators close to each other.

    For example `Shape(accelerators=8, adjacency=Adjacency.RACK, count=2)` guarantees two groups
    of eight accelerators, each group within one rack of the zone.
    """

    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER
    count: int = 1


@dataclass(frozen=True, slots=True)
class Worker:
    """One worker of a zone with its total resources, as it announced them.

    `address` is host:port of its HTTP endpoint. `incarnation` changes whenever the worker
    restarts, so that leases of an earlier incarnation are not taken for leases of this one.
    """

    name: str
    zone: str
    rack: str
    accelerators: int
    cpu_cores: int
    memory_mb: int
    slots: int
    address: str = ""
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Assignment:
    """The placement of one gang member: its number in the gang, its worker and its accelerators."""

    member: int
    worker: str
    accelerators: int
