"""Tests of repeat budgets and failure rates."""

import unittest

from tests.forwarding_builders import Clock
from wasabistream.forwarding.budgets import (
    RepeatBudget,
    RepeatBudgets,
    RepeatLimit,
)
from wasabistream.forwarding.failure_rates import (
    UNREACHABLE_SECONDS,
    FailureRates,
)

LIMIT = RepeatLimit(ratio=0.2, window_seconds=10, extra_count=54)


class RepeatBudgetTest(unittest.TestCase):
    """Guard against retry storms of entries that repeat failed attempts."""

    def test_entries_together_stay_below_the_limit(self) -> None:
        """Guard against entries that exceed the service's limit together."""
        entry_count = 4
        request_count = 100
        taken = 0
        clock = Clock()
        for _ in range(entry_count):
            budget = RepeatBudget(LIMIT, clock)
            for _ in range(request_count):
                budget.request()
            taken += sum(budget.try_take(entry_count) for _ in range(1000))
        allowed = LIMIT.ratio * entry_count * request_count + LIMIT.extra_count
        self.assertLess(taken, allowed)
        self.assertGreater(taken, 0)

    def test_window_slides(self) -> None:
        """Guard against repeats that count after their window."""
        clock = Clock()
        budget = RepeatBudget(LIMIT, clock)
        first = sum(budget.try_take(1) for _ in range(100))
        self.assertFalse(budget.try_take(1))
        clock.advance(LIMIT.window_seconds + 1)
        self.assertEqual(sum(budget.try_take(1) for _ in range(100)), first)

    def test_services_are_counted_apart(self) -> None:
        """Guard against one service using up the budget of another."""
        budgets = RepeatBudgets(LIMIT, lambda: 1)
        while budgets.try_take('first'):
            budgets.request('second')
        self.assertTrue(budgets.try_take('second'))


class FailureRatesTest(unittest.TestCase):
    """Guard against servers that fail requests but pass health checks."""

    def test_rate_rises_and_decays(self) -> None:
        """Guard against avoiding a recovered server permanently."""
        clock = Clock()
        rates = FailureRates(clock)
        for _ in range(30):
            rates.record('a', failed=True)
        bad = rates.rate('a')
        clock.advance(20)
        self.assertGreater(bad, 0.9)
        self.assertLess(rates.rate('a'), 0.1)

    def test_unreachable_server_is_tried_again(self) -> None:
        """Guard against connecting to an unreachable server on each request."""
        clock = Clock()
        rates = FailureRates(clock)
        rates.record_unreachable('a')
        self.assertTrue(rates.is_unreachable('a'))
        clock.advance(UNREACHABLE_SECONDS + 0.1)
        self.assertFalse(rates.is_unreachable('a'))

    def test_removed_servers_are_dropped(self) -> None:
        """Guard against keeping records of servers that were replaced."""
        rates = FailureRates()
        rates.record('a', failed=True)
        rates.keep_only(frozenset(('b',)))
        self.assertEqual(rates.rate('a'), 0)
