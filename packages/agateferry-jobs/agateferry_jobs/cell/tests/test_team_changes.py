"""Which calls reach a job while the manifest changes its team.

The rule is on paper in docs/design/team-access.md: a key reaches a job if it is valid now and was a
key of the job's team in a version since the job's acceptance.
"""

import asyncio
import itertools
import random

import testtools
from msgspec import UNSET
from msgspec.structs import replace

from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.begun_jobs import BegunJobs
from agateferry_jobs.cell.call_handler import CANCELLATION_MS, CallHandler
from agateferry_jobs.cell.job_admission import JobAdmission
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.ledger import JobState, Ledger, commands
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


class TeamChangeCase(testtools.TestCase):
    async def play(self, versions, call_at, call, is_held=False):
        """Install versions of the manifest in turn; return the cell, and a call's reply.

        The call is made under version `call_at`; if it is held, its command is committed only after
        the last version.
        """
        cell = Cell()
        for number, version in enumerate(versions):
            self.assertEqual(messages.Done(), await cell.install(version, number))
            if number == call_at:
                if is_held:
                    cell.replica.gate.clear()
                task = asyncio.create_task(call(cell))
                await asyncio.sleep(0)
        cell.replica.gate.set()
        return cell, await task

    def check_equal(self, expected, actual, *case):
        """Compare, and show the case if they differ."""
        self.assertEqual((case, expected), (case, actual))


def each_time():
    """Yield a change by name, its versions, and when a job is submitted: before, at or after it."""
    for name, changes in CHANGES.items():
        versions = [FIRST, *changes]
        yield name, versions, 0, False
        yield name, versions, 0, True
        if "own" in teams_of(versions[-1]).get("first", ()):
            yield name, versions, len(versions) - 1, False


class TeamChangeTests(TeamChangeCase):
    """A key that went to another team no longer reached its jobs; a foreign one could."""

    async def check_calls(self, name, versions, submitted_at, is_held, is_restarted=False):
        for key in KEYS:
            cell, reply = await self.play(versions, submitted_at, submit_own, is_held)
            self.assertEqual(messages.Done(), reply)
            if is_restarted:
                cell.restart()
            may = may_reach(key, versions, submitted_at)
            if not is_valid(key, versions[-1]):
                expected = [messages.InvalidApiKey] * 3
            elif may:
                expected = [messages.JobStatus, messages.Done, messages.Done]
            else:
                expected = [messages.UnknownJob, messages.Invalid, messages.UnknownJob]
            replies = [cell.status(key), await cell.submit(key), await cell.cancel(key)]
            case = (name, key, submitted_at, is_held)
            self.check_equal(expected, [type(each) for each in replies], *case)
            self.check_equal(may, cell.ledger.jobs[ID].is_cancelled, *case)

    def test_calls_reach_the_jobs_of_their_own_team_alone(self):
        async def main():
            for case in each_time():
                await self.check_calls(*case)

        run_async(main())

    def test_calls_reach_the_same_jobs_at_a_new_leader(self):
        async def main():
            for case in each_time():
                await self.check_calls(*case, is_restarted=True)

        run_async(main())

    def test_a_job_that_has_ended_stays_known_to_its_key(self):
        async def main():
            for name, versions, submitted_at, is_held in each_time():
                if not is_valid("own", versions[-1]):
                    continue
                cell, _ = await self.play(versions, submitted_at, submit_own, is_held)
                cell.ledger.jobs[ID].is_completed = True
                reply = cell.status("own")
                self.check_equal(messages.JobStatus(JobState.COMPLETED), reply, name)

        run_async(main())

    def test_each_valid_key_gets_the_depth_of_a_queue(self):
        async def main():
            for name, versions, submitted_at, is_held in each_time():
                cell, _ = await self.play(versions, submitted_at, submit_own, is_held)
                for key in KEYS:
                    valid = is_valid(key, versions[-1])
                    expected = messages.QueueDepth(1) if valid else messages.InvalidApiKey()
                    self.check_equal(expected, cell.status(key, ""), name, key)

        run_async(main())

    def test_a_submission_that_is_repeated_by_its_entry_is_answered_as_before(self):
        async def main():
            for name, versions, _, is_held in each_time():
                cell, _ = await self.play(versions, 0, submit_own, is_held)
                reply = await cell.submit("own", call_id="call")
                self.check_equal(messages.Done(), reply, name)

        run_async(main())


class SharedIdTests(TeamChangeCase):
    """A submission was answered as accepted though another team's had taken the id meanwhile."""

    async def submit_both(self, first, second):
        cell = Cell()
        await cell.install(FIRST, 0)
        cell.replica.gate.clear()
        tasks = [asyncio.create_task(cell.submit(key)) for key in (first, second)]
        await asyncio.sleep(0)
        cell.replica.gate.set()
        return cell, await asyncio.gather(*tasks)

    def test_only_the_first_of_two_teams_is_accepted(self):
        async def main():
            cell, replies = await self.submit_both("own", "other")
            self.assertEqual([messages.Done, messages.Invalid], [type(each) for each in replies])
            self.assertEqual("a", cell.ledger.jobs[ID].team)

        run_async(main())

    def test_both_of_one_team_are_one_job(self):
        async def main():
            cell, replies = await self.submit_both("own", "sibling")
            self.assertEqual([messages.Done(), messages.Done()], replies)
            self.assertEqual(1, len(cell.ledger.jobs))

        run_async(main())


class PublicQueueTests(TeamChangeCase):
    """Work with a revoked key, or with one that no manifest held, ran on a public queue."""

    PUBLIC_KEYS = (*KEYS, "revoked")

    async def open_cell(self):
        cell = Cell(is_public=True)
        await cell.install({"first": ("a", "own sibling revoked"), "second": ("b", "other")}, 0)
        self.assertEqual(messages.Done(), await submit_own(cell))
        await cell.install(FIRST, 1)
        return cell

    def test_a_key_that_is_given_has_to_be_valid(self):
        async def main():
            for key in self.PUBLIC_KEYS:
                cell = await self.open_cell()
                is_served = not key or is_valid(key, FIRST)
                new = await cell.submit(key, NEW_ID)
                replies = [new, cell.status(key), cell.status(key, ""), await cell.cancel(key)]
                expected = [messages.InvalidApiKey] * len(replies)
                if is_served:
                    expected = [
                        messages.Done,
                        messages.JobStatus,
                        messages.QueueDepth,
                        messages.Done,
                    ]
                self.check_equal(expected, [type(each) for each in replies], key)
                self.check_equal(is_served, NEW_ID in cell.ledger.jobs, key)
                self.check_equal(is_served, cell.ledger.jobs[ID].is_cancelled, key)

        run_async(main())

    def test_a_cancellation_before_the_submission_needs_a_valid_key(self):
        async def main():
            for key in ("unknown", "revoked"):
                cell = await self.open_cell()
                self.check_equal(messages.InvalidApiKey(), await cell.cancel(key, NEW_ID), key)
                self.check_equal(messages.Done(), await cell.submit("own", NEW_ID), key)

        run_async(main())


class CancellationChangeTests(TeamChangeCase):
    """A submission was accepted, or refused to another team, once the canceller's team changed."""

    async def check_cancellation(self, name, versions, key, is_held):
        async def cancel(cell):
            return await cell.cancel(key)

        for submitter in KEYS:
            if not is_valid(submitter, versions[-1]):
                continue
            cell, reply = await self.play(versions, 0, cancel, is_held)
            self.assertEqual(messages.UnknownJob(), reply)
            is_own = may_reach(submitter, versions, 0, team_of(key, versions[0]))
            reply = await cell.submit(submitter)
            case = (name, key, submitter, is_held)
            self.check_equal(is_own, isinstance(reply, messages.Refused), *case)
            self.check_equal(not is_own, ID in cell.ledger.jobs, *case)

    def test_it_counts_for_its_own_team_alone(self):
        async def main():
            for name, changes in CHANGES.items():
                for key, is_held in itertools.product(("own", "sibling", "other"), (False, True)):
                    await self.check_cancellation(name, [FIRST, *changes], key, is_held)

        run_async(main())

    def test_one_that_is_committed_after_the_submission_ends_the_job(self):
        async def main():
            for name, changes in CHANGES.items():
                versions = [FIRST, *changes]
                if not is_valid("own", versions[-1]):
                    continue
                cell = Cell()
                await cell.install(FIRST, 0)
                cell.replica.gate.clear()
                submission = asyncio.create_task(cell.submit("own"))
                await asyncio.sleep(0)
                for number, version in enumerate(changes, start=1):
                    await cell.install(version, number)
                cancellation = asyncio.create_task(cell.cancel("own"))
                await asyncio.sleep(0)
                cell.replica.gate.set()
                self.check_equal(messages.Done(), await submission, name)
                self.check_equal(messages.Done(), await cancellation, name)
                self.check_equal(True, cell.ledger.jobs[ID].is_cancelled, name)

        run_async(main())

    def test_nothing_is_left_of_those_that_have_expired(self):
        async def main():
            cell = Cell()
            await cell.install(FIRST, 0)
            await cell.cancel("own")
            await cell.install({"first": ("c", "own")}, 1)
            cell.at_ms += 10 * CANCELLATION_MS
            await cell.submit("own")
            self.assertEqual({}, cell.ledger.state.cancellations)
            self.assertEqual({}, cell.ledger.state.cancelled_in)

        run_async(main())


class DrawnChangeTests(testtools.TestCase):
    """In a series of changes a caller lost its job, or one that had no key in common reached it."""

    SEEDS = range(300)
    NAMES = ("a", "b", "c")
    DRAWN_KEYS = ("k1", "k2", "k3", "k4", "k5")

    def draw(self, rng):
        """Return a version, as keys by team's name; each key is in at most one team."""
        teams = {name: [] for name in rng.sample(self.NAMES, rng.randint(1, len(self.NAMES)))}
        for key in self.DRAWN_KEYS:
            name = rng.choice((*teams, None))
            if name is not None:
                teams[name].append(key)
        return teams

    def draw_next(self, rng, teams):
        """Return a version that differs a little from another, or in everything."""
        if rng.random() < 0.2:
            return self.draw(rng)
        changed = {name: list(keys) for name, keys in teams.items()}
        key = rng.choice(self.DRAWN_KEYS)
        for keys in changed.values():
            if key in keys:
                keys.remove(key)
        name = rng.choice(self.NAMES)
        if rng.random() < 0.7:
            changed.setdefault(name, []).append(key)
        elif len(changed) > 1:
            changed.pop(name, None)
        return changed

    def reachable_keys(self, versions, name):
        """Return the keys that may have to do with a team of the first version, at the most.

        It goes on as each team that has one of its keys, and as the one of its name.
        """
        teams, keys = {name}, set(versions[0][name])
        for version in versions[1:]:
            teams = {each for each in version if each in teams or keys & set(version[each])}
            keys |= {key for each in teams for key in version[each]}
        return keys

    async def check_seed(self, seed):
        rng, cell = random.Random(seed), Cell()
        versions = [{"a": ["k1", "k2"], "b": ["k3"]}]
        for _ in range(rng.randint(1, 6)):
            versions.append(self.draw_next(rng, versions[-1]))
        submitted_at = rng.choice([n for n, each in enumerate(versions) if any(each.values())])
        own_name = rng.choice([name for name, keys in versions[submitted_at].items() if keys])
        own_keys = versions[submitted_at][own_name]
        for number, version in enumerate(versions):
            await cell.install(
                {name: (name, " ".join(keys)) for name, keys in version.items()}, number
            )
            if number == submitted_at:
                self.assertEqual(messages.Done(), await cell.submit(rng.choice(own_keys)))
            if rng.random() < 0.3:
                cell.restart()
        possible = self.reachable_keys(versions[submitted_at:], own_name)
        for key in (key for keys in versions[-1].values() for key in keys):
            is_known = isinstance(cell.status(key), messages.JobStatus)
            case = (seed, key, own_name, versions[submitted_at:])
            self.assertTrue(is_known or key not in own_keys, case)
            self.assertTrue(not is_known or key in possible, case)

    def test_each_key_of_the_acceptance_reaches_the_job_and_no_strange_one(self):
        async def main():
            for seed in self.SEEDS:
                await self.check_seed(seed)

        run_async(main())
