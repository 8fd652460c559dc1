from unittest import mock

import testtools

from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_jobs.support import MemoryReplica
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.proposer import Proposer
from agateferry_service.requests.ledger import Ledger
from agateferry_service.rpc import commands_pb2 as pb
from agateferry_state.replica import NotApplied, ProposeErrorKind

BAD = pb.Command(cancel=pb.RequestCancel(request_id="z.1"))
GOOD = pb.Command(give_up=pb.GiveUp(request_id="z.1"))


class FailingCommandTests(testtools.TestCase):
    """A command that met a bug ended each replica of the zone, at each of its restarts."""

    def setUp(self):
        super().setUp()
        self.machine = CellMachine("z")
        self.heard = []
        self.machine.listeners.append(lambda message, _: self.heard.append(message))
        bug = mock.patch.object(Ledger, "cancel", side_effect=KeyError("bug"))
        bug.start()
        self.addCleanup(bug.stop)

    def test_the_commands_after_it_are_applied(self):
        result = self.machine.apply(1, BAD.SerializeToString())
        self.assertIsInstance(result, NotApplied)
        self.assertIn("KeyError", result.detail)
        self.machine.apply(2, GOOD.SerializeToString())
        self.assertEqual([GOOD], self.heard)

    def test_its_proposer_learns_that_the_outcome_is_unknown(self):
        proposer = Proposer(MemoryReplica(self.machine), Metrics())
        result = run_async(proposer.propose(cancel=BAD.cancel))
        self.assertEqual(ProposeErrorKind.UNKNOWN, result.error.kind)
        self.assertTrue(proposer.outcome_uncertain)

    def test_a_command_of_a_newer_build_still_ends_the_replica(self):
        self.assertRaises(ValueError, self.machine.apply, 1, pb.Command().SerializeToString())
