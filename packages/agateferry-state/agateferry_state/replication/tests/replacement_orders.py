"""Orders of losses that a cell must bear: each begins when the one before has stopped counting.

A machine counts as lost while it is gone, cut off, frozen or down, and for `CATCH_UP_MS` after it
is back. One that is gone for good counts until its successor has run for as long. At every moment
at most one machine counts.
"""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.replication.tests.support import Cluster

CATCH_UP_MS = 4000
FIRST_LOSS_MS = 2500
CUT_MS = 3000
DOWN_MS = 400
HAND_OVER_TIMEOUT_MS = 2000
DROPPED_MS = 300
"""A stopping voter waits until the leader has sent it nothing for as long, as replicas do."""


class Target(StrEnum):
    """Which machine is lost."""

    LEADER = "leader"
    FOLLOWER = "follower"
    NEWEST = "newest"


class Kind(StrEnum):
    """How a machine is lost."""

    GONE = "gone"
    """For good; an empty machine with another address follows."""
    WIPED = "wiped"
    """It comes back with an empty disk."""
    KILLED = "killed"
    CUT = "cut"
    FROZEN = "frozen"
    STOPPED = "stopped"
    """For good, after its successor was started, with the time to hand over."""


@dataclass(frozen=True)
class Loss:
    """One loss; times are in ms.

    The successor's machine starts `successor_after_ms` after the loss, or before it if that is
    negative; its process starts `process_after_ms` later.
    """

    target: Target
    kind: Kind
    successor_after_ms: int = 500
    process_after_ms: int = 700


class ReplacedHosts:
    """Plays losses on a cluster, one after the other, and checks that the cell goes on."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._spare_names = iter("klmnopqrstuvwxyz")
        self._newest = max(cluster.hosts)

    def play(self, losses: list[Loss], offset_ms: int = 0) -> None:
        """Play the losses; raises `ViolationError` where the cell doesn't go on after the last."""
        cluster = self._cluster
        start_ms = FIRST_LOSS_MS + offset_ms
        cluster.run_clients(start_ms)
        for loss in losses:
            lead_ms = max(0, -loss.successor_after_ms)
            cluster.run_until(start_ms)
            spare = self._schedule_spare(lead_ms + loss.successor_after_ms, loss)
            cluster.run_until(start_ms + lead_ms)
            lost_for_ms = self._lose(loss, spare)
            start_ms = max(cluster.now, cluster.now + lost_for_ms + CATCH_UP_MS)
            cluster.run_clients(start_ms)
        cluster.run_until(start_ms)
        cluster.check_recovered()

    def _schedule_spare(self, delay_ms: int, loss: Loss) -> str | None:
        if loss.kind not in (Kind.GONE, Kind.STOPPED):
            return None
        name = next(self._spare_names)
        self._cluster.schedule(delay_ms + loss.process_after_ms, self._cluster.add_host, name)
        return name

    def _lose(self, loss: Loss, spare: str | None) -> int:
        """Begin a loss, and return for how many ms from now its machine is not back or replaced."""
        cluster = self._cluster
        name = self._choose(loss.target)
        match loss.kind:
            case Kind.GONE:
                assert spare is not None
                cluster.remove_host(name)
                self._newest = spare
                return loss.successor_after_ms
            case Kind.STOPPED:
                assert spare is not None
                began_ms = cluster.now
                self._stop(name)
                self._newest = spare
                return loss.successor_after_ms - (cluster.now - began_ms)
            case Kind.WIPED:
                cluster.wipe(name)
                cluster.schedule(DOWN_MS, cluster.start_empty, name)
                return DOWN_MS
            case Kind.KILLED:
                cluster.kill(name)
                cluster.schedule(DOWN_MS, cluster.start, name)
                return DOWN_MS
            case Kind.FROZEN:
                cluster.freeze(name)
                cluster.schedule(CUT_MS, cluster.unfreeze, name)
                return CUT_MS
            case Kind.CUT:
                links = {(a, b) for a in cluster.hosts for b in cluster.hosts if name in (a, b)}
                cluster.blocked_links |= links
                cluster.schedule(CUT_MS, cluster.blocked_links.difference_update, links)
                return CUT_MS

    def _stop(self, name: str) -> None:
        """Let a host stop, which waits for a learner to take its vote if there is one."""
        cluster = self._cluster
        host = cluster.hosts[name]
        began_ms = cluster.local_ms(host)
        cluster.announce_stop(name)
        members = host.core.members
        waits = members.is_voter(host.core.me.id) and bool(members.learners)
        while waits and cluster.local_ms(host) - began_ms < HAND_OVER_TIMEOUT_MS:
            cluster.run_until(cluster.now + 100)
            contact = host.core.leader_contact
            if contact is not None and contact.last_ms >= began_ms:
                waits = cluster.local_ms(host) - contact.last_ms <= DROPPED_MS
        cluster.remove_host(name)

    def _choose(self, target: Target) -> str:
        leader = self._cluster.leader()
        names = self._voting_hosts()
        match target:
            case Target.NEWEST if self._newest in names:
                return self._newest
            case Target.LEADER if leader is not None:
                return leader
        others = [name for name in names if name not in (leader, self._newest)]
        return self._cluster.rng.choice(others or names)

    def _voting_hosts(self) -> list[str]:
        """Return the hosts that vote as the leader knows it, or all where none leads."""
        hosts = self._cluster.hosts
        leader = self._cluster.leader()
        if leader is None:
            return sorted(hosts)
        voters = {member_id.host for member_id in hosts[leader].core.members.voter_ids}
        return sorted(voters & hosts.keys())
