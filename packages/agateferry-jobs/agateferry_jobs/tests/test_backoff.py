import testtools

from agateferry_jobs.backoff import RETENTION_FACTOR, Backoff


class BackoffTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.backoff = Backoff(first_ms=100, max_ms=400)

    def held_for_ms(self, now_ms):
        """Return for how long a key is held that fails now."""
        self.backoff.record_failure("key", now_ms)
        return next(ms for ms in range(1_000) if not self.backoff.is_held("key", now_ms + ms))

    def test_the_delay_doubles_up_to_the_longest(self):
        self.assertEqual([100, 200, 400, 400], [self.held_for_ms(n * 500) for n in range(4)])

    def test_a_success_starts_it_anew(self):
        self.held_for_ms(0)
        self.backoff.record_success("key")
        self.assertFalse(self.backoff.is_held("key", 0))
        self.assertEqual(100, self.held_for_ms(0))

    def test_a_failure_counts_until_a_success_or_until_it_is_old(self):
        self.held_for_ms(0)
        self.assertTrue(self.backoff.has_failed("key", 200))
        self.assertFalse(self.backoff.has_failed("key", RETENTION_FACTOR * 400 + 100))
        self.backoff.record_success("key")
        self.assertFalse(self.backoff.has_failed("key", 200))

    def test_keys_are_held_apart(self):
        self.backoff.record_failure("key", 0)
        self.assertFalse(self.backoff.is_held("other", 0))

    def test_old_failures_are_forgotten(self):
        self.held_for_ms(0)
        self.backoff.record_failure("other", RETENTION_FACTOR * 400 + 100)
        self.assertEqual(100, self.held_for_ms(RETENTION_FACTOR * 400 + 100))
