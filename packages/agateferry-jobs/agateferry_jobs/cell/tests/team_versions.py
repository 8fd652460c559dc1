"""Versions of the manifest that change teams, and the calls of a leader while they come into force.

The rule is on paper in docs/design/team-access.md: a key reaches a job if it is valid now and was a
key of the job's team in a version since the job's acceptance.
"""

import asyncio

from msgspec import UNSET
from msgspec.structs import replace

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.begun_jobs import BegunJobs
from agateferry_jobs.cell.call_handler import CallHandler
from agateferry_jobs.cell.job_admission import JobAdmission
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.support import MemoryReplica
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

SPEC = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
ID, NEW_ID = "5c0e7a21d94b36f8", "91be75b36baf2430"
QUEUE = Queue("queue", "host", "/jobs/", "pool", 3000)
MAX_BYTES = 10**9
VERSION_STEP = 3
"""Versions of the manifest rise in uneven steps, so more than one lies between two of them."""

# Each version maps a team, whatever name it has, to its name and keys. "first" has the job.
FIRST = {"first": ("a", "own sibling"), "second": ("b", "other")}
CHANGES = {
    "none": [FIRST],
    "split": [{"first": ("a", "sibling"), "new": ("n", "own"), "second": ("b", "other")}],
    "given to another team": [{"first": ("a", "sibling"), "second": ("b", "other own")}],
    "away and back": [
        {"first": ("a", "sibling"), "new": ("n", "own"), "second": ("b", "other")},
        FIRST,
    ],
    "away and away again": [
        {"first": ("a", "sibling"), "new": ("n", "own"), "second": ("b", "other")},
        {"first": ("a", "sibling"), "new": ("n", ""), "second": ("b", "other own")},
    ],
    "merged": [{"first": ("a", "own sibling other")}],
    "absorbed": [{"second": ("b", "other own sibling")}],
    "renamed": [{"first": ("c", "own sibling"), "second": ("b", "other")}],
    "renamed, with a new key": [
        {"first": ("c", "own sibling"), "second": ("b", "other")},
        {"first": ("c", "own late"), "second": ("b", "other")},
    ],
    "names swapped": [{"first": ("b", "own sibling"), "second": ("a", "other")}],
    "names swapped twice": [{"first": ("b", "own sibling"), "second": ("a", "other")}, FIRST],
    "name taken over": [{"second": ("a", "other")}],
    "renamed and its name taken over": [{"first": ("c", "own sibling"), "second": ("a", "other")}],
    "renamed and split": [
        {"first": ("c", "own sibling"), "second": ("b", "other")},
        {"first": ("c", "sibling"), "new": ("n", "own"), "second": ("b", "other")},
    ],
    "removed": [{"second": ("b", "other")}],
    "removed and put back": [{"second": ("b", "other")}, FIRST],
    "removed, its name used anew": [
        {"second": ("b", "other")},
        {"new": ("a", "late"), "second": ("b", "other")},
    ],
    "removed, its name used anew twice": [
        {"second": ("b", "other")},
        {"new": ("a", "late"), "second": ("b", "other")},
        {"second": ("b", "other late")},
        {"newer": ("a", "later"), "second": ("b", "other late")},
    ],
    "rotated": [
        {"first": ("a", "own sibling late"), "second": ("b", "other")},
        {"first": ("a", "late"), "second": ("b", "other")},
    ],
    "rotated at once": [{"first": ("a", "late later"), "second": ("b", "other")}],
    "revoked": [{"first": ("a", "sibling"), "second": ("b", "other")}],
    "revoked and given out again": [
        {"first": ("a", "sibling"), "second": ("b", "other")},
        FIRST,
    ],
    "revoked and given to another team": [
        {"first": ("a", "sibling"), "second": ("b", "other")},
        {"first": ("a", "sibling"), "second": ("b", "other own")},
    ],
    "all revoked": [{"first": ("a", ""), "second": ("b", "other")}],
    "teams of all keys exchanged": [{"first": ("a", "own"), "second": ("b", "other sibling")}],
}
KEYS = ("own", "sibling", "other", "late", "later", "unknown", "")


def teams_of(version):
    return {team: keys.split() for team, (_, keys) in version.items()}


def manifest_of(version, number, is_public):
    teams = tuple(Team(name, tuple(keys.split())) for name, keys in version.values())
    queue = replace(QUEUE, is_public=is_public)
    return Manifest(number, (queue,), (Service("pool"),), teams)


def team_of(key, version):
    return next(team for team, keys in teams_of(version).items() if key in keys)


def is_valid(key, version):
    return any(key in keys for keys in teams_of(version).values())


def may_reach(key, versions, since, team="first"):
    """Return whether a key reaches what a key of a team did under a version, on paper."""
    was_of_team = any(key in teams_of(each).get(team, ()) for each in versions[since:])
    return is_valid(key, versions[-1]) and was_of_team


async def submit_own(cell):
    return await cell.submit("own", call_id="call")


class HeldReplica(MemoryReplica):
    """A replica that applies some proposals only once a test lets it."""

    def __init__(self, machine):
        super().__init__(machine)
        self.gate = asyncio.Event()
        self.gate.set()

    async def propose(self, command):
        if not isinstance(commands.decode(command), commands.PutManifest):
            await self.gate.wait()
        return await super().propose(command)


class Cell:
    """The calls of a leader, without workers."""

    def __init__(self, is_public=False):
        self.is_public = is_public
        self.ledger = Ledger()
        self.replica = HeldReplica(self.ledger)
        proposer = Proposer(self.replica)
        begun = BegunJobs(self.ledger, proposer)
        admission = JobAdmission(self.ledger, MAX_BYTES)
        self.handler = CallHandler(self.ledger, proposer, begun, admission, lambda: None)
        self.at_ms = 1_000

    async def install(self, version, number):
        manifest = manifest_of(version, 1 + VERSION_STEP * number, self.is_public)
        return await self.handler.install(manifest)

    async def submit(self, key, id=ID, call_id=UNSET):
        call = messages.Submit(self.target(key, id), SPEC, call_id=call_id)
        return await self.handler.submit(call, self.at_ms)

    def status(self, key, id=ID):
        return self.handler.get_status(messages.GetStatus(self.target(key, id)))

    async def cancel(self, key, id=ID):
        return await self.handler.cancel(messages.Cancel(self.target(key, id)), self.at_ms)

    def target(self, key, id):
        return messages.CallTarget("host", f"/jobs/{id}", key)

    def restart(self):
        """Go on with the state of a snapshot, as a new leader does that has just got it."""
        self.ledger.restore(self.ledger.snapshot())
