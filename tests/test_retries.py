"""Tests of the retry budget and of the joint outcome of attempts."""

import unittest
from unittest.mock import Mock

from wasabistream.outcomes import Outcome
from wasabistream.retries import MAX_BUDGET_COUNT, RetryBudget, worst_outcome


class RetryBudgetTest(unittest.TestCase):
    """Guard an overloaded fleet against a storm of retries."""

    def test_budget_is_a_tenth(self) -> None:
        """Guard against more retries than a tenth of the requests."""
        budget = RetryBudget(Mock(return_value=0))
        initial_count = sum(budget.try_take() for _ in range(100))
        self.assertLess(initial_count, MAX_BUDGET_COUNT)
        for _ in range(105):
            budget.deposit()
        taken = sum(budget.try_take() for _ in range(100))
        self.assertEqual(taken, 10)

    def test_worst_outcome(self) -> None:
        """Guard against not_run for a request whose first attempt may have run."""
        outcome = worst_outcome(Outcome.unknown, Outcome.not_run)
        self.assertEqual(outcome, Outcome.unknown)
