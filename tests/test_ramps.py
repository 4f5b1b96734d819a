"""Tests of the ramp of a cold engine."""

import unittest

from wasabistream.ramps import Ramp
from wasabistream.token_gaps import TokenGapMeter

START_COUNT = 2
FULL_COUNT = 32
NORMAL_SECONDS = 0.02


class RampTest(unittest.TestCase):
    """Guard cold engines against full load."""

    def setUp(self) -> None:
        """Build a ramp that knows the normal speed."""
        self.token_gaps = TokenGapMeter()
        self.ramp = Ramp(
            self.token_gaps, START_COUNT, FULL_COUNT, NORMAL_SECONDS
        )

    def finish(self, count: int, gap_seconds: float) -> None:
        """Record finished answers with one mean gap."""
        for _ in range(count):
            self.ramp.record_answer(gap_seconds)

    def stream(self, count: int, gap_seconds: float) -> None:
        """Record tokens with one gap."""
        for _ in range(count):
            self.token_gaps.observe(gap_seconds)
            self.ramp.record_token()

    def test_slow_answers_do_not_raise_limit(self) -> None:
        """Guard against a limit that rises by answers slower than normal."""
        self.finish(100, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_normal_answers_raise_limit_to_full(self) -> None:
        """Guard against a limit that never reaches the full count."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)

    def test_slow_tokens_lower_limit_without_restart(self) -> None:
        """Guard against full load on an engine that has become cold."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.stream(100, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)
        self.stream(200, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_restart_lowers_limit(self) -> None:
        """Guard against full load right after an engine restart."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.ramp.on_engine_lost()
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_limit_rises_slowly_without_normal_gap(self) -> None:
        """Guard against full load while the normal gap is unknown.

        A clear drop of the gap shows the normal one, and the limit may rise.
        """
        ramp = Ramp(self.token_gaps, START_COUNT, FULL_COUNT)
        for _ in range(20):
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertLess(ramp.limit_count, 6)
        for _ in range(FULL_COUNT):
            ramp.record_answer(NORMAL_SECONDS)
        self.assertTrue(ramp.open)

    def test_short_answers_do_not_raise_limit(self) -> None:
        """Guard against a limit that rises by answers of a few tokens.

        The answers suffice for the limit to rise by one; the tokens do not.
        """
        ramp = Ramp(self.token_gaps, START_COUNT, FULL_COUNT)
        for _ in range(6):
            ramp.record_token()
            ramp.record_token()
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertEqual(ramp.limit_count, START_COUNT)
