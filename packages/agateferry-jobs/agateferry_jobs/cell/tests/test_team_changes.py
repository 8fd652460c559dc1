"""Which calls reach a job while the manifest changes its team."""

import asyncio
import itertools

import testtools

from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.call_handler import CANCELLATION_MS
from agateferry_jobs.cell.tests.team_versions import (
    CHANGES,
    FIRST,
    ID,
    KEYS,
    NEW_ID,
    Cell,
    is_valid,
    may_reach,
    submit_own,
    team_of,
    teams_of,
)
from agateferry_jobs.ledger import JobState


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
