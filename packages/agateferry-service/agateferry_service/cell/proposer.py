"""Proposals of commands to the cell's log."""

from collections.abc import Callable

from expression import Error, Ok, Result

from agateferry_core.metrics import Metrics
from agateferry_service.cell.refusals import RETRY_AFTER_MS, RefusalReason, not_leader, refusal
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_state.replica import NotApplied, ProposeError, ProposeErrorKind, Replica

LOG_NAME = "cell"


class Proposer:
    """Propose commands to the replicated log.

    `outcome_uncertain` is set when the outcome of a command is unknown. The leader's state may then
    lack what the log holds, so the leader must restart and rebuild it from the ledger.
    """

    def __init__(self, replica: Replica, metrics: Metrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self.outcome_uncertain = False
        self.on_outcome_uncertain: Callable[[], None] = lambda: None

    def mark_outcome_uncertain(self) -> None:
        """Request a restart of the leader, which rebuilds its state from the ledger."""
        self.outcome_uncertain = True
        self.on_outcome_uncertain()

    async def propose(self, **command: object) -> Result[object, ProposeError]:
        """Propose one command, named by its field, and return the state machine's result.

        For example `await proposer.propose(cancel=pb.RequestCancel(request_id="z.1"))`.
        """
        message = commands_pb2.Command(**command)  # type: ignore[arg-type]
        result = await self._replica.propose(message.SerializeToString())
        if result.is_error():
            self.mark_outcome_uncertain()
            self._metrics.proposed(LOG_NAME, result.error.kind.value)
            return Error(result.error)
        if isinstance(result.ok.result, NotApplied):
            self.mark_outcome_uncertain()
            self._metrics.proposed(LOG_NAME, "not-applied")
            detail = result.ok.result.detail
            return Error(ProposeError(ProposeErrorKind.UNKNOWN, detail=detail))
        self._metrics.proposed(LOG_NAME, "applied")
        return Ok(result.ok.result)


def refusal_for_propose_error(error: ProposeError) -> cell_pb2.Refusal:
    """Return the refusal for a command that failed or whose outcome is unknown."""
    match error.kind:
        case ProposeErrorKind.NOT_LEADER:
            return not_leader(error.leader)
        case ProposeErrorKind.STOPPED:
            return refusal(RefusalReason.STOPPING, "this host is stopping", RETRY_AFTER_MS)
        case ProposeErrorKind.STORAGE_FAILED:
            detail = error.detail or "the disk failed"
            return refusal(RefusalReason.STORAGE_FAILED, detail, RETRY_AFTER_MS)
        case ProposeErrorKind.UNKNOWN:
            detail = "the outcome is unknown; retry with the same key"
            return refusal(RefusalReason.OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
