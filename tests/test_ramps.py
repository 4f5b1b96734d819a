"""Tests of the ramp of a cold engine."""

import unittest

from wasabistream.ramps import Ramp
from wasabistream.token_gaps import TokenGapMeter

START_COUNT = 2
FULL_COUNT = 32
NORMAL_SECONDS = 0.02


class RampTest(unittest.TestCase):
    """Guard cold engines against a full share of the load."""

    def setUp(self) -> None:
        """Build a ramp that knows the normal speed."""
        self.speeds = TokenGapMeter()
        self.ramp = Ramp(self.speeds, START_COUNT, FULL_COUNT, NORMAL_SECONDS)

    def finish(self, count: int, gap_seconds: float) -> None:
        """Finish answers at one speed."""
        for _ in range(count):
            self.ramp.record_answer(gap_seconds)

    def stream(self, count: int, gap_seconds: float) -> None:
        """Observe tokens at one speed."""
        for _ in range(count):
            self.speeds.observe(gap_seconds)
            self.ramp.record_token()

    def test_slow_work_does_not_open(self) -> None:
        """Guard against opening by time or by work at cold speed."""
        self.finish(100, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_normal_work_opens(self) -> None:
        """Guard against a ramp that never opens."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)

    def test_silent_cold_return_closes(self) -> None:
        """Guard against missing an engine that went cold unannounced."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.stream(100, NORMAL_SECONDS)
        self.assertTrue(self.ramp.open)
        self.stream(200, 3 * NORMAL_SECONDS)
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_restart_closes(self) -> None:
        """Guard against a full share right after a restart."""
        self.finish(FULL_COUNT, NORMAL_SECONDS)
        self.ramp.on_engine_lost()
        self.assertEqual(self.ramp.limit_count, START_COUNT)

    def test_unknown_speed_opens_slowly(self) -> None:
        """Guard a cold engine whose normal speed is not yet known."""
        ramp = Ramp(self.speeds, START_COUNT, FULL_COUNT)
        for _ in range(20):
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertLess(ramp.limit_count, 6)
        for _ in range(FULL_COUNT):
            ramp.record_answer(NORMAL_SECONDS)
        self.assertTrue(ramp.open)

    def test_short_answers_do_not_open(self) -> None:
        """Guard a cold engine against many answers of a few tokens."""
        ramp = Ramp(self.speeds, START_COUNT, FULL_COUNT)
        for _ in range(6):
            ramp.record_token()
            ramp.record_token()
            ramp.record_answer(3 * NORMAL_SECONDS)
        self.assertEqual(ramp.limit_count, START_COUNT)
