"""A seeded network, disks and clocks for cores in virtual time, and a checker of histories."""

import heapq
import itertools
import json
import os
import random
import zlib
from dataclasses import dataclass, field

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication import Core, Settings, StoredState, messages

SEEDS = int(os.environ.get("AGATEFERRY_SEEDS", "500"))


class ViolationError(Exception):
    """What must always hold did not."""


@dataclass
class Disk:
    """What one host stored; `pending` holds log writes that are not synced."""

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
    """One host: a core with a fake shell around it."""

    def __init__(self, name, has_disk, offset_ms, rate):
        self.name, self.has_disk = name, has_disk
        self.offset_ms, self.rate = offset_ms, rate
        self.disk = Disk()
        self.core = None
        self.life = 0
        self.frozen = []
        self.is_frozen = False
        self.machine = []
        self.accepted = {}
        self.armed = (0, 0)


class History:
    """What was seen from outside, checked as it comes."""

    checks_terms = True

    def __init__(self):
        self.places = {}
        self.acked = {}
        self.newest = [(0, 0)]
        self.terms = {}
        self.votes = {}
        self.leaders = {}

    def applied(self, entry):
        if self.places.setdefault(entry.index, entry) != entry:
            raise ViolationError(
                f"two entries at {entry.index}: {self.places[entry.index]}, {entry}"
            )

    def completed(self, now, index):
        if index > self.newest[-1][1]:
            self.newest.append((now, index))

    def read(self, began, now, index):
        known = max(i for at, i in self.newest if at < began or at == 0)
        if index < known:
            raise ViolationError(f"read {index} after {known} was told")
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
    """Hosts, the network between them, and clients, in virtual milliseconds."""

    loses_votes = False
    keeps_incarnation = False
    skips_sync = False
    kills_voters = 0.0

    def __init__(self, seed, disks=(True, True, True), formed=True, loss=0.01, **settings):
        self.rng = random.Random(seed)
        self.now, self.heap, self.count = 0, [], itertools.count()
        self.history, self.cut, self.loss = History(), set(), loss
        self.ids = itertools.count(1)
        self.op_of = {}
        names = "abcdefghi"[: len(disks)]
        firsts = tuple(Member(MemberId(n), d) for n, d in zip(names, disks, strict=True))
        self.settings = Settings(cell="cell", first_hosts=firsts, **settings)
        self.hosts = {}
        for member in firsts:
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

    def at(self, delay, action, *args):
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
        host.life += 1
        if incarnation is None and not (host.has_disk and host.disk.incarnation):
            incarnation = f"{name}1" if self.keeps_incarnation else f"{name}{host.life}"
        host.disk.incarnation = incarnation or host.disk.incarnation
        me = Member(MemberId(name, host.disk.incarnation), host.has_disk)
        rng = random.Random(self.rng.random())
        now = self.local_ms(host)
        host.core = Core(me, self.settings, host.disk.stored(), rng, now)
        snapshot = host.disk.snapshot
        host.machine = json.loads(snapshot.data) if snapshot else []
        self.step(host, messages.Tick())

    def kill(self, name):
        host = self.hosts[name]
        host.core, host.frozen, host.is_frozen = None, [], False
        host.accepted.clear()
        host.disk.crash(self.rng)
        if not host.has_disk:
            host.disk = Disk()

    def wipe(self, name):
        self.kill(name)
        self.hosts[name].disk = Disk()

    def freeze(self, name):
        self.hosts[name].is_frozen = self.hosts[name].core is not None

    def wake(self, name):
        host = self.hosts[name]
        host.is_frozen = False
        waiting, host.frozen = host.frozen, []
        for life, event in waiting:
            self.deliver(host, life, event)
        self.deliver(host, host.life, messages.Tick())

    def heal(self):
        self.cut.clear()
        for name in self.hosts:
            self.wake(name)
            self.start(name)

    def deliver(self, host, life, event):
        if host.core is None or host.life != life:
            return
        if host.is_frozen:
            host.frozen.append((life, event))
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
        self._arm(host, delay)

    def _arm(self, host, delay):
        due = self.now + delay
        life, armed = host.armed
        if life == host.life and self.now < armed <= due:
            return
        host.armed = (host.life, due)
        self.at(delay, self.deliver, host, host.life, messages.Tick())

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
                self.at(delay, self.deliver, host, host.life, messages.Synced(effect.write_id))
            case messages.InstallSnapshot(snapshot):
                host.disk.snapshot, host.disk.entries, host.disk.pending = snapshot, [], []
                host.machine = json.loads(snapshot.data)
            case messages.TakeSnapshot():
                data = json.dumps(host.machine).encode()
                self.at(self.rng.randint(1, 40), self._snapshot_done, host, host.life, effect, data)
            case messages.Apply(entries):
                for entry in entries:
                    self._apply(host, entry)
            case messages.ProposalAccepted(op, index, term):
                host.accepted[index] = (op, term)
            case messages.ReadReady(op, index):
                if op in self.op_of:
                    began = self.op_of.pop(op)
                    self.history.read(began, self.now, index)

    def _snapshot_done(self, host, life, effect, data):
        newest = host.disk.snapshot.meta.index if host.disk.snapshot else 0
        if host.core is None or host.life != life or effect.index <= newest:
            return
        size, checksum = len(data), zlib.crc32(data)
        meta = messages.SnapshotMeta(effect.index, effect.term, effect.members, size, checksum)
        host.disk.snapshot = messages.Snapshot(meta, data)
        self.deliver(host, life, messages.SnapshotTaken(effect.index, data))

    def _send(self, host, effect):
        self.history.sent(host.core.me.id, effect.to, effect.message)
        if (host.name, effect.to.host) in self.cut or self.rng.random() < self.loss:
            return
        event = messages.MessageReceived(host.core.me.id, effect.to, effect.message)
        if isinstance(effect.message, messages.VoteResponse) and effect.message.granted:
            self._kill_voter(host.name)
        copies = 2 if self.rng.random() < 0.01 else 1
        for _ in range(copies):
            slow = self.rng.random() < 0.02
            delay = self.rng.randint(50, 1500) if slow else self.rng.randint(1, 4)
            self.at(delay, self._arrive, host.name, effect.to.host, event)

    def _kill_voter(self, name):
        if self.rng.random() < self.kills_voters:
            self.at(self.rng.randint(0, 5), self.kill, name)
            self.at(self.rng.randint(6, 300), self.start, name)

    def _arrive(self, source, target, event):
        host = self.hosts.get(target)
        if host is not None and (source, target) not in self.cut:
            self.deliver(host, host.life, event)

    def _apply(self, host, entry):
        self.history.applied(entry)
        if host.machine and host.machine[-1][0] >= entry.index:
            raise ViolationError(f"{host.name} applied {entry.index} twice")
        if entry.kind is messages.EntryKind.COMMAND:
            host.machine.append([entry.index, entry.data.decode()])
        op, term = host.accepted.pop(entry.index, (None, 0))
        if op is not None and term == entry.term and op in self.op_of:
            del self.op_of[op]
            self.history.acked[entry.index] = entry.data.decode()
            self.history.completed(self.now, entry.index)

    def propose(self, name):
        host = self.hosts[name]
        op = next(self.ids)
        self.op_of[op] = self.now
        self.deliver(host, host.life, messages.Proposed(op, str(op).encode()))

    def read(self, name):
        host = self.hosts[name]
        op = next(self.ids)
        self.op_of[op] = self.now
        self.deliver(host, host.life, messages.ReadRequested(op))

    def clients(self, until, every=150):
        """Send a proposal or a read to every host now and then."""
        if self.now >= until:
            return
        for name in self.hosts:
            (self.propose if self.rng.random() < 0.5 else self.read)(name)
        self.at(self.rng.randint(1, 2 * every), self.clients, until, every)

    def leader(self):
        for host in self.hosts.values():
            if host.core and not host.is_frozen and host.core.holds_lease(self.local_ms(host)):
                return host.name
        return None

    def is_whole(self):
        """Tell whether every host runs, votes and holds the log, and all of it is committed."""
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
            if self.is_whole():
                return
            self.run_until(self.now + 250)
        raise ViolationError("not every host votes although all are back")

    def check_end(self):
        """Check that the cell works again and holds all that it accepted."""
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
        content = dict(self.hosts[self.leader()].machine)
        for index, data in self.history.acked.items():
            if content.get(index) != data:
                raise ViolationError(f"accepted entry {index} is lost")
