from msgspec.structs import replace
from structlog.testing import capture_logs

from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.tests.test_leader import JOB, LeaderCase, target
from agateferry_jobs.ledger import JobState
from agateferry_jobs.manifest import Team
from agateferry_jobs.support import manifest

OTHER_KEY = "other-key"
SECOND_KEY = "second-key"


def _teams_in(entry):
    return entry["team"], entry["caller_team"]


class TeamAccessTests(LeaderCase):
    """A key read and cancelled the jobs of other teams in the same queue."""

    async def install(self, version=2, is_public=False, own="team"):
        first = manifest(version)
        queues = tuple(replace(queue, is_public=is_public) for queue in first.queues)
        teams = (Team(own, ("key", SECOND_KEY)), Team("other-team", (OTHER_KEY,)))
        changed = replace(first, queues=queues, teams=teams)
        self.assertEqual(messages.Done(), await self.call(messages.InstallManifest(changed)))

    async def submit(self, key="key"):
        return await self.call(messages.Submit(target(key=key), JOB))

    async def status(self, key="key"):
        return await self.call(messages.GetStatus(target(key=key)))

    async def cancel(self, key="key"):
        return await self.call(messages.Cancel(target(key=key)))

    def test_another_team_neither_sees_nor_cancels_nor_takes_over_a_job(self):
        async def scenario():
            await self.install()
            await self.submit()
            self.assertEqual(messages.UnknownJob(), await self.status(OTHER_KEY))
            self.assertEqual(messages.UnknownJob(), await self.cancel(OTHER_KEY))
            self.assertIsInstance(await self.submit(OTHER_KEY), messages.Invalid)
            self.assertEqual(messages.JobStatus(JobState.QUEUED), await self.status())

        self.check(scenario)

    def test_a_call_about_a_job_of_another_team_is_logged(self):
        async def scenario():
            await self.install()
            await self.submit()
            with capture_logs() as logs:
                await self.status(OTHER_KEY)
            hidden = [each for each in logs if each["number"] == events.JOB_HIDDEN.number]
            self.assertEqual([("team", "other-team")], [_teams_in(each) for each in hidden])

        self.check(scenario)

    def test_each_key_of_the_team_is_good(self):
        async def scenario():
            await self.install()
            await self.submit()
            self.assertEqual(messages.JobStatus(JobState.QUEUED), await self.status(SECOND_KEY))
            self.assertEqual(messages.Done(), await self.submit(SECOND_KEY))
            self.assertEqual(messages.Done(), await self.cancel(SECOND_KEY))

        self.check(scenario)

    def test_a_public_queue_asks_for_no_key(self):
        async def scenario():
            await self.install(is_public=True)
            await self.submit()
            self.assertEqual(messages.JobStatus(JobState.QUEUED), await self.status(""))

        self.check(scenario)

    def test_a_team_under_another_name_keeps_its_jobs(self):
        async def scenario():
            await self.install()
            await self.submit()
            await self.install(version=3, own="renamed")
            self.assertEqual(messages.JobStatus(JobState.QUEUED), await self.status())

        self.check(scenario)

    def test_the_depth_of_a_queue_counts_the_jobs_of_all_teams(self):
        async def scenario():
            await self.install()
            await self.submit()
            depth = await self.call(messages.GetStatus(target("", OTHER_KEY)))
            self.assertEqual(messages.QueueDepth(1), depth)

        self.check(scenario)
