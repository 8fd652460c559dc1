from unittest import mock

import msgspec

from agateferry_core.support import run_async
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.job_records import JobRecords
from agateferry_jobs.ledger.tests.test_ledger import LedgerCase
from agateferry_jobs.support import MemoryReplica, job_command
from agateferry_state.replica.protocols import NotApplied, ProposeErrorKind


def failing_for(id):
    """Return a stand-in for `JobRecords.accept` with a bug that one job meets."""
    accept = JobRecords.accept

    def accept_or_fail(records, command):
        if command.id == id:
            raise KeyError(id)
        return accept(records, command)

    return mock.patch.object(JobRecords, "accept", accept_or_fail)


class FailingCommandTests(LedgerCase):
    """A command that met a bug ended each replica that read it, at each of its restarts."""

    def test_the_commands_after_it_are_applied(self):
        with failing_for("bad"):
            self.assertIsInstance(self.apply(job_command("bad")), NotApplied)
            self.assertTrue(self.apply(job_command("good")))
        self.assertEqual(["good"], list(self.ledger.jobs))

    def test_each_replica_ends_in_the_same_state(self):
        with failing_for("bad"):
            replayed = Ledger()
            for index, id in enumerate(("one", "bad", "two"), 1):
                self.apply(job_command(id))
                replayed.apply(index, commands.encode(job_command(id)))
        self.assertEqual(self.ledger.snapshot(), replayed.snapshot())

    def test_its_proposer_learns_that_the_outcome_is_unknown(self):
        """The command may have changed a part before it failed."""
        with failing_for("bad"):
            result = run_async(Proposer(MemoryReplica(self.ledger)).propose(job_command("bad")))
        self.assertEqual(ProposeErrorKind.UNKNOWN, result.error.kind)
        self.assertIn("KeyError", result.error.detail)

    def test_a_command_of_a_newer_build_still_ends_the_replica(self):
        """A replica that skipped it would show an older state than what was acknowledged."""
        newer = msgspec.msgpack.encode({"type": "from-a-newer-build"})
        self.assertRaises(msgspec.ValidationError, self.ledger.apply, 1, newer)
