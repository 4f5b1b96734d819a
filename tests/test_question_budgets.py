"""Tests of the budget of questions to agents, without a network.

Load pattern: many callers take up streams that nobody knows.
"""

import unittest

from tests.forwarding_builders import Clock
from wasabistream.continuations.question_budgets import (
    MAX_QUESTION_COUNT,
    QUESTIONS_PER_SECOND,
    QuestionBudget,
)


class QuestionBudgetTest(unittest.TestCase):
    """Guard against more questions than a daemon may spend."""

    def setUp(self) -> None:
        """Create a budget that is used up."""
        self.clock = Clock()
        self.budget = QuestionBudget(self.clock)
        self.assertTrue(self.budget.take(MAX_QUESTION_COUNT))

    def test_rate(self) -> None:
        """Guard against questions above the rate, or none at all."""
        self.assertFalse(self.budget.take(1))
        self.clock.advance(1)
        self.assertFalse(self.budget.take(QUESTIONS_PER_SECOND + 1))
        self.assertTrue(self.budget.take(QUESTIONS_PER_SECOND))
        self.assertFalse(self.budget.take(1))

    def test_long_pause(self) -> None:
        """Guard against credit that grows without a limit."""
        self.clock.advance(10 * MAX_QUESTION_COUNT / QUESTIONS_PER_SECOND)
        self.assertFalse(self.budget.take(MAX_QUESTION_COUNT + 1))
        self.assertTrue(self.budget.take(MAX_QUESTION_COUNT))
