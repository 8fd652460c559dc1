import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_service.http.memory import SMALL_REQUEST_BYTES, Holding, MemoryAccount, memory_of

LIMIT = 1_000_000
LARGE = 100_000


class Request:
    """An unfinished request of the account, which notes whether it was rejected."""

    def __init__(self, account, size, progress=0.0):
        self.holding = Holding(account)
        self.is_evicted = False
        self._progress = progress
        self._account = account
        account.unfinished.add(self)
        self.is_admitted = self.holding.resize(size, 0.0)

    @property
    def held_bytes(self):
        return self.holding.size

    def progress(self, now_s):
        return self._progress

    def evict(self):
        self.is_evicted = True
        self.end()

    def end(self):
        self.holding.release()
        self._account.unfinished.discard(self)


class MemoryAccountTests(testtools.TestCase):
    """The bytes held for all clients together stay under one limit."""

    def setUp(self):
        super().setUp()
        self.account = MemoryAccount(LIMIT)

    def fill(self):
        """Take as much as large requests may, slower ones first."""
        return [Request(self.account, LARGE, progress) for progress in range(7)]

    def test_the_slowest_request_is_rejected_for_a_faster_one(self):
        held = self.fill()
        newest = Request(self.account, LARGE, progress=100)
        self.assertTrue(newest.is_admitted)
        self.assertTrue(held[0].is_evicted)
        self.assertFalse(any(each.is_evicted for each in held[2:]))

    def test_a_large_request_leaves_room_for_small_ones(self):
        self.fill()
        small = [Request(self.account, SMALL_REQUEST_BYTES) for _ in range(10)]
        self.assertTrue(all(each.is_admitted for each in small))
        Request(self.account, LARGE, progress=100)
        self.assertFalse(any(each.is_evicted for each in small))

    def test_where_nothing_can_be_rejected_the_new_request_is(self):
        for each in self.fill():
            self.account.unfinished.discard(each)
        self.assertFalse(Request(self.account, LARGE).is_admitted)
        self.assertLessEqual(self.account.held_bytes, LIMIT)

    def test_a_request_that_grows_may_be_the_one_that_is_rejected(self):
        held = self.fill()
        self.assertFalse(held[0].holding.resize(2 * LARGE, 0.0))
        self.assertEqual(0, held[0].held_bytes)

    def test_a_request_without_a_bounded_port_is_not_limited(self):
        self.assertTrue(memory_of({}).grow(LIMIT))

    @given(st.randoms(use_true_random=False))
    def test_after_any_mix_of_ends_nothing_is_held(self, rng: random.Random):
        account = MemoryAccount(LIMIT)
        requests = []
        for _ in range(100):
            requests.append(Request(account, rng.randrange(LIMIT // 2), rng.random()))
            each = rng.choice(requests)
            if not each.is_evicted and rng.random() < 0.5:
                each.holding.resize(rng.randrange(LIMIT // 2), 0.0)
            elif rng.random() < 0.5:
                each.end()
            self.assertLessEqual(account.held_bytes, LIMIT)
            self.assertEqual(sum(r.held_bytes for r in requests), account.held_bytes)
        for each in requests:
            each.end()
        self.assertEqual((0, set()), (account.held_bytes, account.unfinished))
