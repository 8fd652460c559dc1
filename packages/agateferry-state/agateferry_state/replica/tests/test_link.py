import asyncio
import random

import testtools

from agateferry_core.support import run_async
from agateferry_state.replica.link import LinkSettings, PeerLink


class FailingLink(PeerLink):
    """A link whose first exchange raises an error that nobody expected."""

    exchanges = 0

    async def _exchange(self):
        self.exchanges += 1
        if self.exchanges == 1:
            raise ValueError("unexpected")
        await asyncio.sleep(60)
        return "closed"


class UnexpectedErrorTests(testtools.TestCase):
    def test_a_link_connects_again(self):
        """A link that ended would leave its host without messages to that peer for good."""

        async def main():
            link = FailingLink("peer", "127.0.0.1:1", LinkSettings(), random.Random(1))
            link.outbox.wait = self.something_to_send
            try:
                while link.exchanges < 2:
                    await asyncio.sleep(0.01)
            finally:
                await link.close()

        run_async(main(), 20)

    async def something_to_send(self):
        await asyncio.sleep(0)
