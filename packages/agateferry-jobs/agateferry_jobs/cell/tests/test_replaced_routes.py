"""Calls about a job whose queue the operator has replaced, renamed, moved or removed.

A caller knows the host, the path and a key. The name of a queue is the operator's, and may change.
"""

from msgspec.structs import replace

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.ledger import JobState, commands
from agateferry_jobs.manifest import Queue, Service
from agateferry_jobs.support import manifest, worker
from agateferry_jobs.support.builders import job_command

OTHER_ID = "91be75b36baf2430"


def queue_at(prefix, name="renamed", host="host", **fields):
    return Queue(name, host, prefix, "pool", 3000, 1000, 1, attempts=2, stretch=3.0, **fields)


class ReplacedRouteTests(LeaderCase):
    """A job that was at work was answered as unknown once its queue had another name."""

    async def submit_and_start(self):
        await self.heartbeat(worker("w1"))
        self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), JOB)))
        await self.running_on("w1")

    async def install(self, *queues, version=2, **fields):
        changed = replace(manifest(version), queues=queues, **fields)
        self.assertEqual(messages.Done(), await self.call(messages.InstallManifest(changed)))

    async def check_known(self):
        self.assertEqual(JobState.RUNNING, await self.state())
        self.assertEqual(messages.Done(), await self.call(messages.Submit(target(), JOB)))
        self.assertEqual(1, len(self.ledger.jobs))

    def test_a_job_is_known_and_cancelled_under_another_name_of_its_queue(self):
        async def scenario():
            await self.submit_and_start()
            await self.install(queue_at("/jobs/"))
            await self.check_known()
            self.assertEqual(messages.Done(), await self.call(messages.Cancel(target())))
            self.assertEqual(JobState.CANCELLED, await self.state())

        self.check(scenario)

    def test_a_job_is_known_where_a_shorter_or_longer_prefix_covers_its_path(self):
        async def scenario():
            await self.submit_and_start()
            await self.install(queue_at("/"))
            await self.check_known()
            await self.install(queue_at("/", "all"), queue_at("/jobs/5c", "part"), version=3)
            await self.check_known()

        self.check(scenario)

    def test_a_job_is_known_again_once_its_queue_is_put_back(self):
        async def scenario():
            await self.submit_and_start()
            await self.install(queue_at("/others/"))
            self.assertEqual(messages.UnknownQueue(), await self.call(messages.GetStatus(target())))
            await self.install(queue_at("/jobs/", "put-back"), version=3)
            await self.check_known()

        self.check(scenario)

    def test_a_queue_that_takes_over_the_name_does_not_know_the_job(self):
        async def scenario():
            await self.submit_and_start()
            await self.install(queue_at("/moved/", "queue"), queue_at("/jobs/"))
            moved = messages.CallTarget("host", f"/moved/{ID}", "key")
            self.assertEqual(messages.UnknownJob(), await self.call(messages.GetStatus(moved)))
            self.assertEqual(messages.UnknownJob(), await self.call(messages.Cancel(moved)))
            self.assertIsInstance(await self.call(messages.Submit(moved, JOB)), messages.Invalid)
            await self.check_known()

        self.check(scenario)

    def test_the_same_path_at_another_host_is_another_job(self):
        async def scenario():
            await self.submit_and_start()
            await self.install(queue_at("/jobs/"), queue_at("/jobs/", "other", host="other"))
            other = target(host="other")
            self.assertEqual(messages.UnknownJob(), await self.call(messages.GetStatus(other)))
            self.assertIsInstance(await self.call(messages.Submit(other, JOB)), messages.Invalid)

        self.check(scenario)

    def test_the_depth_of_a_queue_counts_the_jobs_at_its_paths(self):
        async def scenario():
            await self.call(messages.Submit(target(), JOB))
            await self.install(queue_at("/jobs/", "queue"), queue_at("/jobs/91", "part"))
            await self.call(messages.Submit(target(OTHER_ID), JOB))
            depth = await self.call(messages.GetStatus(target("")))
            self.assertEqual(messages.QueueDepth(1), depth)
            depth = await self.call(messages.GetStatus(target("91")))
            self.assertEqual(messages.QueueDepth(1), depth)

        self.check(scenario)

    def test_a_job_follows_the_service_of_the_queue_at_its_path(self):
        async def scenario():
            await self.call(messages.Submit(target(), JOB))
            moved = replace(queue_at("/jobs/"), service="new-pool")
            services = (Service("pool"), Service("new-pool"))
            taken = queue_at("/moved/", "queue")
            await self.install(moved, taken, services=services)
            self.assertEqual("new-pool", self.ledger.service_of(self.ledger.jobs[ID]))

        self.check(scenario)

    def test_a_snapshot_keeps_the_address(self):
        async def scenario():
            await self.submit_and_start()
            self.ledger.restore(self.ledger.snapshot())
            await self.install(queue_at("/jobs/"))
            await self.check_known()

        self.check(scenario)

    def test_a_job_of_a_version_that_stored_no_address_is_known_by_its_id(self):
        async def scenario():
            self.ledger.apply(1, commands.encode(job_command(ID)))
            self.assertEqual(JobState.QUEUED, await self.state())
            other = messages.CallTarget("host", f"/others/{ID}", "key")
            self.assertEqual(messages.UnknownJob(), await self.call(messages.GetStatus(other)))
            await self.install(queue_at("/jobs/"))
            self.assertEqual(JobState.QUEUED, await self.state())

        self.check(scenario)
