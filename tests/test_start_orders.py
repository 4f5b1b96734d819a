"""Tests of the order of deferrable requests that wait for room.

Load patterns: an organisation that sends most, large requests among small ones.
"""

import unittest

from tests.queueing_builders import build_waiting
from wasabistream.queueing.start_orders import may_look_for_room, rank_claim


class StartOrderTest(unittest.TestCase):
    """Guard against requests that displace those with a better claim."""

    def test_rules_in_their_order(self) -> None:
        """Guard against a rule that overrules the one before it."""
        running_tokens = {'heavy': 9000, 'light': 100}
        waiting = [
            build_waiting('late', is_late=True, priority=0),
            build_waiting('heavy', organisation='heavy', asked_at_seconds=90),
            build_waiting('limit', organisation='light', asked_at_seconds=99),
            build_waiting('second', organisation='light', arrived_at_seconds=2),
            build_waiting('first', organisation='light', arrived_at_seconds=1),
            build_waiting('urgent', organisation='heavy', priority=1),
        ]
        waiting.sort(key=lambda facts: rank_claim(facts, running_tokens))
        self.assertEqual(
            [facts.request_id for facts in waiting],
            ['urgent', 'limit', 'first', 'second', 'heavy', 'late'],
        )

    def test_overtaking(self) -> None:
        """Guard against small requests that starve a large one."""
        large = build_waiting('large', expected_tokens=9000)
        small = build_waiting('small', expected_tokens=2000)
        self.assertTrue(may_look_for_room(small, [large], 100.4))
        self.assertFalse(may_look_for_room(small, [large], 100.6))
        self.assertFalse(may_look_for_room(large, [small], 100.1))
        elsewhere = build_waiting('other', service='desk')
        self.assertTrue(may_look_for_room(elsewhere, [large], 100.6))
