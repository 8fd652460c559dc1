"""A budget that bounds the additional load of retries.

As in "Handling Overload" in the Site Reliability Engineering book (Beyer and others, 2016): when
many requests fail at once, retries must not grow with the failures.
"""

RESERVED_RETRIES = 10
RETRY_COST = 100
MAX_SAVED_RETRIES = 110


class RetryBudget:
    """Allow retries in proportion to first attempts, plus a small reserve.

    For example, with 20 percent a hundred first attempts allow twenty retries.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._credit = RESERVED_RETRIES * RETRY_COST

    def record_first_attempt(self) -> None:
        """Add the credit of one first attempt."""
        self._credit = min(MAX_SAVED_RETRIES * RETRY_COST, self._credit + self._percent)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._credit < RETRY_COST:
            return False
        self._credit -= RETRY_COST
        return True
