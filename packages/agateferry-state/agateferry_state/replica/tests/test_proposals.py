import testtools

from agateferry_core.support import run_async
from agateferry_state.replica.proposals import PendingProposals
from agateferry_state.replica.protocols import ProposeErrorKind
from agateferry_state.replication.messages import EntryKind, LogEntry


class PendingProposalTests(testtools.TestCase):
    """A leader that lost and regained its place with a shorter log left a call waiting for good."""

    def test_a_proposal_whose_index_is_given_to_a_later_one_ends_as_unknown(self):
        async def main():
            proposals = PendingProposals()
            first_id, first = proposals.add_proposal()
            second_id, second = proposals.add_proposal()
            proposals.accept(first_id, 7, term=2)
            proposals.accept(second_id, 7, term=4)
            self.assertEqual(ProposeErrorKind.UNKNOWN, first.result().error.kind)
            proposals.complete(LogEntry(7, 4, EntryKind.COMMAND, b"x"), "result", "here")
            self.assertEqual("result", second.result().ok.result)
            self.assertTrue(proposals.is_idle)

        run_async(main())

    def test_each_call_ends_when_its_replica_stops(self):
        async def main():
            proposals = PendingProposals()
            accepted_id, accepted = proposals.add_proposal()
            _, proposed = proposals.add_proposal()
            _, read = proposals.add_read()
            proposals.accept(accepted_id, 1, term=1)
            proposals.fail_all(ProposeErrorKind.STOPPED)
            self.assertEqual(ProposeErrorKind.UNKNOWN, accepted.result().error.kind)
            self.assertEqual(ProposeErrorKind.STOPPED, proposed.result().error.kind)
            self.assertEqual(ProposeErrorKind.STOPPED, read.result().error.kind)

        run_async(main())
