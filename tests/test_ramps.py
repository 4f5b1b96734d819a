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

    def test_slow_work_does_not_open(self) -> None:
        """Guard against opening with time or by answers at cold speed."""
        self.finish(100, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_normal_work_opens(self) -> None:
        """Guard against a ramp that never opens."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)

    def test_unannounced_cold_engine_closes(self) -> None:
        """Guard against full load on an engine that has become cold."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.stream(100, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)
        self.stream(200, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_restart_closes(self) -> None:
        """Guard against full load right after an engine restart."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.ramp.on_engine_lost()
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_unknown_normal_gap_opens_slowly(self) -> None:
        """Guard against full load while the normal gap is unknown."""
        ramp = Ramp(self.token_gaps, START_COUNT, FULL_COUNT)
        for _ in range(20):
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertLess(ramp.limit_count, 6)
        for _ in range(FULL_COUNT):
            ramp.record_answer(NORMAL_SECONDS)
        self.assertTrue(ramp.open)

    def test_short_answers_do_not_open(self) -> None:
        """Guard against a ramp that opens by answers of a few tokens."""
        ramp = Ramp(self.token_gaps, START_COUNT, FULL_COUNT)
        for _ in range(6):
            ramp.record_token()
            ramp.record_token()
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertEqual(ramp.limit_count, START_COUNT)
