"""A seeded simulation of network, disks and clocks for cores, and a checker of histories."""

import heapq
import itertools
import json
import os
import random
import zlib
from dataclasses import dataclass, field, replace

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication import Core, Settings, StoredState, messages

SEEDS = int(os.environ.get("AGATEFERRY_SEEDS", "500"))


class ViolationError(Exception):
    """An invariant of replication was violated."""


@dataclass
class Disk:
    """The disk of one host; `pending` holds the log writes that are not synced."""

    incarnation: str = ""
    term: int = 0
    vote: MemberId | None = None
    snapshot: messages.Snapshot | None = None
    entries: list[messages.LogEntry] = field(default_factory=list)
    pending: list = field(default_factory=list)
    unsynced_vote: tuple | None = None

    def write(self, effect):
        if isinstance(effect, messages.TruncateLog):
            self.entries = [e for e in self.entries if e.index < effect.from_index]
        else:
            self.entries.extend(effect.entries)

    def sync(self, write_id):
        if self.unsynced_vote is not None:
            (self.term, self.vote), self.unsynced_vote = self.unsynced_vote, None
        while self.pending and self.pending[0].write_id <= write_id:
            self.write(self.pending.pop(0))

    def crash(self, rng):
        kept = self.pending[: rng.randint(0, len(self.pending))]
        if kept:
            self.sync(kept[-1].write_id)
        self.pending.clear()
        self.unsynced_vote = None

    def stored(self):
        return StoredState(self.term, self.vote, self.snapshot, tuple(self.entries))


class Host:
    """One host: a core, and what the simulated driver keeps for it."""

    def __init__(self, name, has_disk, offset_ms, rate):
        self.name, self.has_disk = name, has_disk
        self.offset_ms, self.rate = offset_ms, rate
        self.disk = Disk()
        self.core = None
        self.start_count = 0
        self.queued_events = []
        self.is_frozen = False
        self.applied_commands = []
        self.accepted = {}
        self.timer = (0, 0)
        self.settings = None


class History:
    """What clients and the network observed; each observation is checked at once."""

    checks_terms = True

    def __init__(self):
        self.entries_by_index = {}
        self.acked = {}
        self.completions = [(0, 0)]
        self.terms = {}
        self.votes = {}
        self.leaders = {}

    def applied(self, entry):
        if self.entries_by_index.setdefault(entry.index, entry) != entry:
            raise ViolationError(
                f"two entries at {entry.index}: {self.entries_by_index[entry.index]}, {entry}"
            )

    def completed(self, now, index):
        if index > self.completions[-1][1]:
            self.completions.append((now, index))

    def read(self, began, now, index):
        known = max(i for at, i in self.completions if at < began or at == 0)
        if index < known:
            raise ViolationError(f"read at index {index} after {known} was acknowledged")
        self.completed(now, index)

    def sent(self, sender, to, message):
        if isinstance(message, messages.VoteRequest) and message.pre_vote:
            return
        if self.checks_terms and message.term < self.terms.get(sender, 0):
            raise ViolationError(f"the term of {sender} went down to {message.term}")
        self.terms[sender] = message.term
        match message:
            case messages.VoteResponse(_, term, True, False):
                if self.votes.setdefault((sender, term), to) != to:
                    raise ViolationError(f"{sender} voted twice in term {term}")
            case messages.AppendRequest(term):
                if self.leaders.setdefault(term, sender) != sender:
                    raise ViolationError(f"two leaders in term {term}")


class Cluster:
    """Simulated hosts, network and clients; all times are virtual milliseconds.

    The class attributes plant faults: votes that are not synced, a wiped host that returns under
    the same incarnation, log writes that are reported as synced but are not.
    """

    loses_votes = False
    keeps_incarnation = False
    skips_sync = False
    kill_after_vote_probability = 0.0

    def __init__(self, seed, disks=(True, True, True), formed=True, loss=0.01, **settings):
        self.rng = random.Random(seed)
        self.now, self.heap, self.count = 0, [], itertools.count()
        self.history, self.blocked_links, self.loss = History(), set(), loss
        self.ids = itertools.count(1)
        self.op_started_ms = {}
        names = "abcdefghi"[: len(disks)]
        first_hosts = tuple(Member(MemberId(n), d) for n, d in zip(names, disks, strict=True))
        self.settings = Settings(cell="cell", first_hosts=first_hosts, **settings)
        self.hosts = {}
        for member in first_hosts:
            host = Host(member.id.host, member.has_disk, *self._clock())
            self.hosts[host.name] = host
            host.disk.incarnation = f"{host.name}1"
        if formed:
            self._form()
        for host in self.hosts.values():
            self.start(host.name, host.disk.incarnation)

    def _clock(self):
        return self.rng.randint(-(10**9), 10**9), self.rng.uniform(0.97, 1.03)

    def _form(self):
        voters = tuple(
            Member(MemberId(h.name, h.disk.incarnation), h.has_disk) for h in self.hosts.values()
        )
        entry = messages.LogEntry(1, 1, messages.EntryKind.MEMBERS, Members(voters).encode())
        for host in self.hosts.values():
            host.disk.term, host.disk.entries = 1, [entry]

    def schedule(self, delay, action, *args):
        heapq.heappush(self.heap, (self.now + delay, next(self.count), action, args))

    def run_until(self, end):
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.heap)
            action(*args)
        self.now = end

    def local_ms(self, host):
        return host.offset_ms + int(self.now * host.rate)

    def start(self, name, incarnation=None):
        host = self.hosts[name]
        if host.core is not None:
            return
        host.start_count += 1
        if incarnation is None and not (host.has_disk and host.disk.incarnation):
            incarnation = f"{name}1" if self.keeps_incarnation else f"{name}{host.start_count}"
        host.disk.incarnation = incarnation or host.disk.incarnation
        me = Member(MemberId(name, host.disk.incarnation), host.has_disk)
        rng = random.Random(self.rng.random())
        now = self.local_ms(host)
        settings = host.settings or self.settings
        host.core = Core(me, settings, host.disk.stored(), rng, now)
        snapshot = host.disk.snapshot
        host.applied_commands = json.loads(snapshot.data) if snapshot else []
        self.step(host, messages.Tick())

    def kill(self, name):
        host = self.hosts[name]
        host.core, host.queued_events, host.is_frozen = None, [], False
        host.accepted.clear()
        host.disk.crash(self.rng)
        if not host.has_disk:
            host.disk = Disk()

    def wipe(self, name):
        self.kill(name)
        self.hosts[name].disk = Disk()

    def add_host(self, name):
        """Start a host with an empty disk that the others don't know."""
        self.hosts[name] = Host(name, True, *self._clock())
        self.start_empty(name)

    def start_empty(self, name):
        """Start a host with an empty disk; it knows the present hosts, as its seeds name them."""
        known = tuple(Member(MemberId(other)) for other in self.hosts)
        self.hosts[name].settings = replace(self.settings, first_hosts=known)
        self.start(name)

    def announce_stop(self, name):
        """Let a host hand over its leadership and vote, as before a planned stop."""
        host = self.hosts[name]
        for event in (messages.StopAnnounced(), messages.TransferLeadership()):
            self.deliver(host, host.start_count, event)

    def start_again(self, name):
        """Start a host after the first start of the whole cell: it may only join."""
        host = self.hosts[name]
        host.settings = replace(host.settings or self.settings, may_bootstrap=False)
        self.start(name)

    def remove_host(self, name):
        """Take a host away for good."""
        self.kill(name)
        del self.hosts[name]

    def freeze(self, name):
        self.hosts[name].is_frozen = self.hosts[name].core is not None

    def unfreeze(self, name):
        host = self.hosts[name]
        host.is_frozen = False
        waiting, host.queued_events = host.queued_events, []
        for start_count, event in waiting:
            self.deliver(host, start_count, event)
        self.deliver(host, host.start_count, messages.Tick())

    def heal(self):
        self.blocked_links.clear()
        for name in self.hosts:
            self.unfreeze(name)
            self.start(name)

    def deliver(self, host, start_count, event):
        if host.core is None or host.start_count != start_count:
            return
        if host.is_frozen:
            host.queued_events.append((start_count, event))
            return
        self.step(host, event)

    def step(self, host, event):
        if isinstance(event, messages.Synced) and not self.skips_sync:
            host.disk.sync(event.write_id)
        core = host.core
        for effect in core.step(event, self.local_ms(host)):
            if host.core is core:
                self.carry_out(host, effect)
        self._check_leases(host)
        delay = max(1, int((core.next_deadline_ms - self.local_ms(host)) / host.rate) + 1)
        self._set_timer(host, delay)

    def _set_timer(self, host, delay):
        due = self.now + delay
        start_count, pending_due = host.timer
        if start_count == host.start_count and self.now < pending_due <= due:
            return
        host.timer = (host.start_count, due)
        self.schedule(delay, self.deliver, host, host.start_count, messages.Tick())

    def _check_leases(self, host):
        if not host.core.holds_lease(self.local_ms(host)):
            return
        holders = [
            h.name
            for h in self.hosts.values()
            if h.core and not h.is_frozen and h.core.holds_lease(self.local_ms(h))
        ]
        if len(holders) > 1:
            raise ViolationError(f"{holders} hold the lease at once")

    def carry_out(self, host, effect):
        match effect:
            case messages.Send():
                self._send(host, effect)
            case messages.PersistVote(term, voted_for):
                host.disk.unsynced_vote = (term, voted_for)
                if not self.loses_votes:
                    host.disk.sync(0)
            case messages.AppendLog() | messages.TruncateLog():
                host.disk.pending.append(effect)
                delay = self.rng.randint(1, 15) if host.has_disk else 0
                self.schedule(
                    delay, self.deliver, host, host.start_count, messages.Synced(effect.write_id)
                )
            case messages.InstallSnapshot(snapshot):
                host.disk.snapshot, host.disk.entries, host.disk.pending = snapshot, [], []
                host.applied_commands = json.loads(snapshot.data)
            case messages.TakeSnapshot():
                data = json.dumps(host.applied_commands).encode()
                self.schedule(
                    self.rng.randint(1, 40),
                    self._snapshot_done,
                    host,
                    host.start_count,
                    effect,
                    data,
                )
            case messages.Apply(entries):
                for entry in entries:
                    self._apply(host, entry)
            case messages.ProposalAccepted(op, index, term):
                host.accepted[index] = (op, term)
            case messages.ReadReady(op, index):
                if op in self.op_started_ms:
                    began = self.op_started_ms.pop(op)
                    self.history.read(began, self.now, index)

    def _snapshot_done(self, host, start_count, effect, data):
        newest_index = host.disk.snapshot.meta.index if host.disk.snapshot else 0
        if host.core is None or host.start_count != start_count or effect.index <= newest_index:
            return
        size, checksum = len(data), zlib.crc32(data)
        meta = messages.SnapshotMeta(effect.index, effect.term, effect.members, size, checksum)
        host.disk.snapshot = messages.Snapshot(meta, data)
        self.deliver(host, start_count, messages.SnapshotTaken(effect.index, data))

    def _send(self, host, effect):
        self.history.sent(host.core.me.id, effect.to, effect.message)
        if (host.name, effect.to.host) in self.blocked_links or self.rng.random() < self.loss:
            return
        event = messages.MessageReceived(host.core.me.id, effect.to, effect.message)
        if isinstance(effect.message, messages.VoteResponse) and effect.message.granted:
            self._kill_after_vote(host.name)
        copies = 2 if self.rng.random() < 0.01 else 1
        for _ in range(copies):
            slow = self.rng.random() < 0.02
            delay = self.rng.randint(50, 1500) if slow else self.rng.randint(1, 4)
            self.schedule(delay, self._arrive, host.name, effect.to.host, event)

    def _kill_after_vote(self, name):
        if self.rng.random() < self.kill_after_vote_probability:
            self.schedule(self.rng.randint(0, 5), self.kill, name)
            self.schedule(self.rng.randint(6, 300), self.start, name)

    def _arrive(self, source, target, event):
        host = self.hosts.get(target)
        if host is not None and (source, target) not in self.blocked_links:
            self.deliver(host, host.start_count, event)

    def _apply(self, host, entry):
        self.history.applied(entry)
        if host.applied_commands and host.applied_commands[-1][0] >= entry.index:
            raise ViolationError(f"{host.name} applied {entry.index} twice")
        if entry.kind is messages.EntryKind.COMMAND:
            host.applied_commands.append([entry.index, entry.data.decode()])
        op, term = host.accepted.pop(entry.index, (None, 0))
        if op is not None and term == entry.term and op in self.op_started_ms:
            del self.op_started_ms[op]
            self.history.acked[entry.index] = entry.data.decode()
            self.history.completed(self.now, entry.index)

    def propose(self, name):
        host = self.hosts[name]
        op = next(self.ids)
        self.op_started_ms[op] = self.now
        self.deliver(host, host.start_count, messages.Proposed(op, str(op).encode()))

    def read(self, name):
        host = self.hosts[name]
        op = next(self.ids)
        self.op_started_ms[op] = self.now
        self.deliver(host, host.start_count, messages.ReadRequested(op))

    def run_clients(self, until, every=150):
        """Send a proposal or a read to every host at random intervals, until the given time."""
        if self.now >= until:
            return
        for name in self.hosts:
            (self.propose if self.rng.random() < 0.5 else self.read)(name)
        self.schedule(self.rng.randint(1, 2 * every), self.run_clients, until, every)

    def leader(self):
        for host in self.hosts.values():
            if host.core and not host.is_frozen and host.core.holds_lease(self.local_ms(host)):
                return host.name
        return None

    def is_fully_replicated(self):
        """Return whether every host is a running voter that has the leader's committed log."""
        cores = [h.core for h in self.hosts.values()]
        name = self.leader()
        if name is None or None in cores:
            return False
        leader = self.hosts[name].core
        wanted = {c.me.id for c in cores}
        committed = leader.commit_index == leader.last_index
        caught_up = all(i >= leader.commit_index for i in leader.match_indexes.values())
        return committed and caught_up and leader.members.voter_ids == wanted

    def _check_members(self):
        for _ in range(80):
            if self.is_fully_replicated():
                return
            self.run_until(self.now + 250)
        raise ViolationError("not every host is a voter although all are back")

    def check_recovered(self):
        """Check that the cell accepts entries again and holds every acknowledged one."""
        before = len(self.history.acked)
        for _ in range(40):
            for name in self.hosts:
                self.propose(name)
            self.run_until(self.now + 250)
            if len(self.history.acked) > before + 1 and self.leader():
                break
        else:
            raise ViolationError("no entry is accepted although all hosts are back")
        self._check_members()
        content = dict(self.hosts[self.leader()].applied_commands)
        for index, data in self.history.acked.items():
            if content.get(index) != data:
                raise ViolationError(f"accepted entry {index} is lost")
