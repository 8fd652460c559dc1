"""The vocabulary shared by the request ledger, the scheduler and the workers."""

from dataclasses import dataclass
from enum import StrEnum


class Adjacency(StrEnum):
    """Say how close together the members of a gang must sit."""

    ANY = "any"
    RACK = "rack"
    WORKER = "worker"


class Urgency(StrEnum):
    """Say how soon work must start; URGENT has a stated bound, LONG can wait."""

    URGENT = "urgent"
    NORMAL = "normal"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Demand:
    """What one request asks for: `members` equal tasks that run together or not at all.

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
    """A part of a team's guarantee: `count` groups of accelerators that sit together.

    For example `Shape(accelerators=8, adjacency=Adjacency.RACK, count=2)` promises two groups of
    eight accelerators, each group within one rack of the zone.
    """

    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER
    count: int = 1


@dataclass(frozen=True, slots=True)
class Worker:
    """One machine of a zone, as it announced itself.

    `address` is host:port of its HTTP endpoint. `incarnation` changes whenever the worker starts
    anew, so that leases given to an earlier life are not mistaken for leases of this one.
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
    """The place of one gang member: its number, its worker and how many accelerators it takes."""

    member: int
    worker: str
    accelerators: int
