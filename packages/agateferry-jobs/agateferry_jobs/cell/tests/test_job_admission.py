import asyncio

import testtools

from agateferry_core.stored_room import TEAM_SHARE
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.job_admission import (
    SMALL_JOB_BYTES,
    JobAdmission,
    job_item,
    max_job_bytes,
)
from agateferry_jobs.cell.tests.test_leader import LeaderCase, target
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.job_records import ENDED_JOB_RETENTION_MS
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.ledger.stored_sizes import new_job_bytes
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

SMALL = JobSpec("small", (StepSpec(1, SUBTASK_RESOURCES),))
LARGE = JobSpec("large", (StepSpec(1_000, SUBTASK_RESOURCES),))
LARGE_BYTES = new_job_bytes(LARGE)
SMALLEST_CELL_MB = 296
MEMORY_MB = 110
"""A machine with room for a few large jobs."""


class JobAdmissionTests(testtools.TestCase):
    """Jobs of legal size cannot fill the memory of the hosts, nor the room of other teams."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.index = 0
        self.admission = JobAdmission(self.ledger, 6 * LARGE_BYTES)

    def apply(self, command):
        self.index += 1
        self.ledger.apply(self.index, commands.encode(command))

    def store(self, id, team="a", spec=LARGE, at_ms=0):
        self.apply(commands.AcceptJob(id, "q", "pool", team, 1, 1, at_ms, spec))

    def shortage(self, id, team="a", spec=LARGE, now_ms=0):
        return self.admission.find_shortage(job_item(id, team, spec), now_ms)

    def fill(self):
        number = 0
        while self.shortage(f"j{number}") is None:
            self.store(f"j{number}")
            number += 1
        return number

    def with_teams(self, *names):
        teams = tuple(Team(name, (name,), 0, 0) for name in names)
        queue = Queue("q", "h", "/q/", "pool", 3_000, 1_000.0, 1)
        self.apply(commands.PutManifest(Manifest(1, (queue,), (Service("pool"),), teams, b"")))

    def test_large_jobs_leave_room_for_small_ones(self):
        self.assertEqual(4, self.fill())
        self.assertIsNone(self.shortage("s", spec=SMALL))

    def test_small_jobs_have_a_limit_too(self):
        self.store("s")
        small = JobAdmission(self.ledger, LARGE_BYTES)
        self.assertIsNotNone(small.find_shortage(job_item("t", "a", SMALL), 0))

    def test_one_team_leaves_room_for_the_others(self):
        self.with_teams("a", "b")
        self.assertEqual(int(4.5 * TEAM_SHARE), self.fill())
        self.assertIsNotNone(self.shortage("k", "a"))
        self.assertIsNone(self.shortage("k", "b"))

    def test_jobs_that_are_being_committed_count(self):
        with self.admission.committing(job_item("j", "a", LARGE)):
            self.assertEqual(3, self.fill())

    def test_another_attempt_of_a_job_that_is_being_committed_is_not_refused(self):
        self.fill()
        with self.admission.committing(job_item("j", "a", LARGE)):
            self.assertIsNone(self.shortage("j"))

    def test_jobs_that_ended_long_ago_make_room(self):
        """They are dropped when a job is accepted, so a full store must still accept one."""
        stored = self.fill()
        now_ms = 2 * ENDED_JOB_RETENTION_MS
        for number in range(stored):
            self.apply(commands.CancelJob(f"j{number}", 10))
        full = JobAdmission(self.ledger, new_job_bytes(SMALL) + 1_000)
        self.assertIsNotNone(full.find_shortage(job_item("s", "a", SMALL), 10))
        self.assertIsNone(full.find_shortage(job_item("s", "a", SMALL), now_ms))

    def test_a_small_job_has_the_room_of_many_on_the_smallest_machine(self):
        self.assertLess(1_000 * SMALL_JOB_BYTES, max_job_bytes(SMALLEST_CELL_MB))


class LongIdTests(LeaderCase):
    """An id is kept several times for each job, and a head may be as long as 32 KiB."""

    def test_a_job_with_a_long_id_is_invalid(self):
        async def scenario():
            reply = await self.call(messages.Submit(target("f" * 201), SMALL))
            self.assertIsInstance(reply, messages.Invalid)
            self.assertEqual({}, self.ledger.jobs)
            reply = await self.call(messages.Submit(target("f" * 200), SMALL))
            self.assertEqual(messages.Done(), reply)

        self.check(scenario)


class RefusedJobTests(LeaderCase):
    """A job without room is refused with a time to come back, and an accepted one never is."""

    def test_a_flood_of_jobs(self):
        async def scenario():
            replies = await asyncio.gather(
                *(self.call(messages.Submit(target(f"{n:016x}"), LARGE)) for n in range(20))
            )
            accepted = [n for n, each in enumerate(replies) if isinstance(each, messages.Done)]
            refused = [each for each in replies if isinstance(each, messages.Refused)]
            self.assertEqual(20, len(accepted) + len(refused))
            self.assertTrue(accepted and refused)
            self.assertTrue(all(each.retry_after_ms for each in refused))
            self.assertEqual(len(accepted), len(self.ledger.jobs))
            for n in accepted:
                reply = await self.call(messages.Submit(target(f"{n:016x}"), LARGE))
                self.assertEqual(messages.Done(), reply)
            small = await self.call(messages.Submit(target("f" * 16), SMALL))
            self.assertEqual(messages.Done(), small)

        self.check(scenario, memory_mb=MEMORY_MB)
