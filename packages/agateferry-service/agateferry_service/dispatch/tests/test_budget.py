import testtools

from agateferry_service.dispatch.budget import RESERVED_RETRIES, RetryBudget


class RetryBudgetTests(testtools.TestCase):
    def test_retries_stay_in_proportion_to_first_attempts(self):
        budget = RetryBudget(20)
        for _ in range(100):
            budget.record_first_attempt()
        allowed = sum(budget.try_spend() for _ in range(1000))
        self.assertEqual(RESERVED_RETRIES + 20, allowed)

    def test_the_reserve_allows_a_retry_without_first_attempts(self):
        self.assertTrue(RetryBudget(0).try_spend())
