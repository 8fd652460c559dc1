"""Cancellations that are answered before the submission that they cancel arrives.

The submission may be in the socket of a host that stands still, or be repeated until a leader is
there. The answer to the cancellation has been given by then.
"""

import asyncio
from unittest import mock

from msgspec.structs import replace

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.call_handler import CANCELLATION_MS
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.cell.tests.test_registration import SlowReplica
from agateferry_jobs.ledger import JobState, Ledger, cancellations
from agateferry_jobs.manifest import Team
from agateferry_jobs.support import ModelWorker, manifest, worker

OTHER_ID = "91be75b36baf2430"
OTHER_KEY = "other-key"
TIMEOUT_MS = 3_000
"""The timeout of the queues in `manifest`."""


class CancellationTests(LeaderCase):
    """A job that was cancelled was accepted afterwards and ran to its end."""

    def check(self, scenario):
        async def main(loop):
            self.clock = loop
            self.ports = {}
            self.ledger = Ledger()
            self.replica = SlowReplica(self.ledger)
            self.leader = Leader(
                self.replica, self.ledger, loop, lambda _: ModelWorker(loop), lease_ms=8_000
            )
            self.replica.lead()
            first = manifest()
            teams = (*first.teams, Team("other-team", (OTHER_KEY,)))
            await self.call(messages.InstallManifest(replace(first, teams=teams)))
            await self.heartbeat(worker("w1"))
            try:
                await scenario()
            finally:
                await self.leader.close()

        run_virtual(main)

    async def submit(self, id=ID, key="key"):
        return await self.call(messages.Submit(target(id, key), JOB))

    async def cancel(self, id=ID, key="key"):
        return await self.call(messages.Cancel(target(id, key)))

    async def check_refused(self):
        reply = await self.submit()
        self.assertIsInstance(reply, messages.Refused)
        self.assertGreater(reply.retry_after_ms, 0)
        self.assertLessEqual(reply.retry_after_ms, TIMEOUT_MS + CANCELLATION_MS)
        self.assertEqual({}, self.ledger.jobs)

    def test_a_submission_that_arrives_after_its_cancellation_is_refused(self):
        async def scenario():
            self.assertEqual(messages.UnknownJob(), await self.cancel())
            await self.check_refused()
            await asyncio.sleep((TIMEOUT_MS + CANCELLATION_MS) / MS_PER_S - 1)
            await self.check_refused()

        self.check(scenario)

    def test_a_submission_that_is_being_committed_is_cancelled(self):
        async def scenario():
            submission = asyncio.create_task(self.submit())
            await asyncio.sleep(0)
            self.assertEqual(messages.Done(), await self.cancel())
            self.assertEqual(messages.Done(), await submission)
            self.assertEqual(JobState.CANCELLED, await self.state())

        self.check(scenario)

    def test_the_cancellation_outlives_a_change_of_leader_and_a_snapshot(self):
        async def scenario():
            await self.cancel()
            self.replica.lead(False)
            self.ledger.restore(self.ledger.snapshot())
            self.replica.lead()
            await self.check_refused()

        self.check(scenario)

    def test_a_new_job_may_use_the_id_later(self):
        async def scenario():
            await self.cancel()
            await asyncio.sleep((TIMEOUT_MS + CANCELLATION_MS) / MS_PER_S)
            self.assertEqual(messages.Done(), await self.submit())
            self.assertEqual({}, self.ledger.state.cancellations)

        self.check(scenario)

    def test_a_team_does_not_keep_another_team_from_submitting(self):
        async def scenario():
            await self.cancel(key=OTHER_KEY)
            self.assertEqual(messages.Done(), await self.submit())

        self.check(scenario)

    def test_a_cancellation_that_cannot_be_stored_is_refused(self):
        async def scenario():
            with mock.patch.object(cancellations, "MAX_PER_TEAM", 1):
                await self.cancel(OTHER_ID)
                self.assertIsInstance(await self.cancel(), messages.Refused)
                self.assertEqual(messages.UnknownJob(), await self.cancel(OTHER_ID))
                self.assertEqual(messages.UnknownJob(), await self.cancel(key=OTHER_KEY))
                await asyncio.sleep((TIMEOUT_MS + CANCELLATION_MS) / MS_PER_S)
                self.assertEqual(messages.UnknownJob(), await self.cancel())

        self.check(scenario)

    def test_a_call_to_a_queue_without_an_id_stores_nothing(self):
        async def scenario():
            self.assertEqual(messages.UnknownJob(), await self.cancel(""))
            self.assertEqual({}, self.ledger.state.cancellations)

        self.check(scenario)
