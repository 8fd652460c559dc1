"""What a session with a worker needs from the leader, and what it reports to it."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from agateferry_jobs.ledger import WorkerIncarnation
from agateferry_jobs.ledger.commands import RunEnded
from agateferry_jobs.ledger.state import RunKey


class SessionListener(Protocol):
    """What a session needs from the leader, and what it reports to it."""

    def next_token(self) -> int:
        """Return a fencing token greater than all issued before."""

    def may_send_orders(self) -> bool:
        """Return whether this host leads now, so that it may send orders to workers."""

    async def commit_run_ends(self, ends: tuple[RunEnded, ...]) -> bool:
        """Commit how runs ended; return whether that succeeded."""

    def on_incarnation_replaced(self, incarnation: WorkerIncarnation) -> None:
        """Handle that another worker runs at the address, so this one and its runs have ended."""

    def on_worker_restarted(self, incarnation: WorkerIncarnation) -> None:
        """Handle that the worker has started again under its id.

        Orders to this incarnation may have been carried out by the new one.
        """

    def on_run_begun(self, key: RunKey, is_adopted: bool) -> None:
        """Handle that a run has begun; an adopted one was ordered by an earlier leader."""

    def on_answering_again(self) -> None:
        """Handle that a worker answers again, which must be committed before it gets a lease."""

    def request_planning(self) -> None:
        """Request a new plan, since the worker's health changed."""

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated now, so that no start order may be sent there."""

    def is_obsolete(self, key: RunKey) -> bool:
        """Return whether a subtask is done or its job is over, so that it must not start."""

    def may_later_run_begin(self, key: RunKey, run: int) -> bool:
        """Return whether the order of a run later than `run` may still be under way.

        For a member of a gang, this is about the runs of all members.
        """

    def keeps_idle_connections(self) -> bool:
        """Return whether a connection is kept to a worker without runs, for its next order."""

    def poll_wait_ms(self) -> int:
        """Return how long a worker may delay the answer to a poll while no run ends."""

    def contact_slot(self) -> AbstractAsyncContextManager[None]:
        """Return the slot that a poll needs if it is the first or the last one had no answer."""
