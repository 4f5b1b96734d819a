"""Tests of what agents measure of their engines, and of its reports.

Load pattern: engines of one service that differ in speed, are slowed down for
seconds, or for a tenth of the time, and restart under the same address.
"""

import random
import unittest
from dataclasses import replace

from tests.forwarding_builders import Clock, build_server
from tests.simulated_engines import SimulatedEngine, build_state
from wasabistream.frames import encode_frame
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.paces.pace_boards import PaceBoard
from wasabistream.paces.pace_estimators import PaceEstimator
from wasabistream.paces.pace_reports import (
    PaceReporter,
    build_pace_report,
)

FAST_SECONDS = 0.55 * 0.025
SLOW_SECONDS = 1.2 * 0.025


class PaceEstimatorTest(unittest.TestCase):
    """Guard against engines whose speed is estimated wrong."""

    def setUp(self) -> None:
        """Start an engine with two generations."""
        self.estimator = PaceEstimator()
        self.engine = SimulatedEngine()
        self.random = random.Random(1)

    def test_fast_and_slow_engine(self) -> None:
        """Guard against speeds that are unknown for long after a start."""
        for seconds in (FAST_SECONDS, SLOW_SECONDS):
            estimator = PaceEstimator()
            SimulatedEngine(seconds).poll(estimator, 0.5)
            ratio = estimator.pace.event_seconds / seconds
            self.assertAlmostEqual(ratio, 1, delta=0.1)

    def test_slowed_engine(self) -> None:
        """Guard against a slowed engine that is noticed late, or for good."""
        self.engine.poll(self.estimator, 10)
        self.engine.event_seconds *= 3.5
        self.engine.poll(self.estimator, 6)
        self.assertGreater(self.estimator.pace.event_seconds, 0.06)
        self.engine.event_seconds /= 3.5
        self.engine.poll(self.estimator, 8)
        self.assertLess(self.estimator.pace.event_seconds, 0.034)

    def test_noise(self) -> None:
        """Guard against noise that makes a fast engine look slow."""
        self.engine.event_seconds = FAST_SECONDS
        self.engine.poll(self.estimator, 2)
        for _ in range(200):
            # One interval of seven is slowed down.
            factor = self.random.choice((2.5, 1, 1, 1, 1, 1, 1))
            self.engine.event_seconds = FAST_SECONDS * factor
            self.engine.poll(self.estimator, 0.6)
            self.assertLess(self.estimator.pace.event_seconds, SLOW_SECONDS)

    def test_prompts_beside_streams(self) -> None:
        """Guard against short prefills that change the estimated times."""
        for seconds in (0.06, 0.15):
            self.setUp()
            self.engine.prompt_event_seconds = seconds
            self.engine.poll(self.estimator, 1)
            for number in range(20):
                phase = self.random.random()
                self.engine.begin(self.estimator, str(number), 3000, phase)
                self.engine.poll(self.estimator, 1)
            pace = self.estimator.pace
            for ratio in (
                pace.event_seconds / 0.03,
                pace.prompt_event_seconds / seconds,
                pace.prompt_tokens_per_second / 7000,
                pace.prompts_per_second,
            ):
                self.assertAlmostEqual(ratio, 1, delta=0.2)
            self.engine.poll(self.estimator, 20)
            self.assertEqual(self.estimator.pace.prompts_per_second, 0)

    def test_stuck_generation(self) -> None:
        """Guard against an agent that fails to encode what it reports.

        Pattern: a generation produces nothing for minutes.
        """
        self.engine.poll(self.estimator, 2)
        for poll in range(6000):
            self.estimator.observe(build_state({'a': 100}), 1000 + poll / 20)
        report = build_pace_report(self.estimator.pace)
        self.assertTrue(encode_frame(report))
        self.assertGreater(report.event_microseconds, 10_000_000)

    def test_short_generations(self) -> None:
        """Guard against prompts that no poll sees as they end at once."""
        for number in range(20):
            name = str(number)
            self.engine.begin(self.estimator, name, 2100, self.random.random())
            self.engine.poll(self.estimator, 0.25)
            self.engine.advance(0.04)
            self.engine.runs.pop(name, None)
            self.estimator.record_prompt_end(name, self.engine.now_seconds)
            self.engine.poll(self.estimator, 0.2)
        rate = self.estimator.pace.prompt_tokens_per_second
        self.assertAlmostEqual(rate / 7000, 1, delta=0.2)

    def test_restart_and_gap(self) -> None:
        """Guard against a restart or a gap that counts as slow progress."""
        self.engine.runs = {'a': 50, 'b': 50, 'c': 50}
        self.engine.poll(self.estimator, 2)
        before = self.estimator.pace.event_seconds
        self.engine.now_seconds += 2
        self.engine.poll(self.estimator, 0.05)
        self.assertAlmostEqual(self.estimator.pace.event_seconds, before)
        now = self.engine.now_seconds
        self.estimator.observe(build_state({}), now + 0.05)
        self.assertEqual(self.estimator.pace, UNKNOWN_PACE)
        self.estimator.observe(build_state({'d': 9}), now + 0.1)
        self.assertEqual(self.estimator.pace.output_tokens, 9)

    def test_growth_of_long_among_short(self) -> None:
        """Guard against expecting little growth where most answers are short.

        Pattern: three tags of two events for each letter of 187 events; the
        mean of all would let letters outgrow the memory.
        """
        for number in range(40):
            event_count = 2 if number % 4 else 187
            self.engine.runs = {'other': 10, str(number): event_count}
            self.engine.poll(self.estimator, 0.05)
        mean_tokens = self.estimator.pace.output_tokens
        self.assertGreater(self.estimator.remaining_tokens, 1.5 * mean_tokens)


class PaceReportTest(unittest.TestCase):
    """Guard against paces that outlive their engine or are sent too often."""

    def test_reporter(self) -> None:
        """Guard against a report for each poll, and a change that is lost."""
        reporter = PaceReporter()
        self.assertIsNotNone(reporter.next_report(EnginePace(0.03), 100))
        self.assertIsNone(reporter.next_report(EnginePace(0.09), 100.5))
        self.assertIsNotNone(reporter.next_report(EnginePace(0.09), 101))
        self.assertIsNone(reporter.next_report(EnginePace(0.095), 110))

    def test_board(self) -> None:
        """Guard against the pace of the server that had the address before."""
        clock = Clock()
        board = PaceBoard(clock)
        pace = EnginePace(0.03, 0.06, 7000, 130, 400, 1.5)
        server = build_server(1)
        board.keep_only([server])
        board.report(server.endpoint, build_pace_report(pace))
        clock.advance(2)
        # It leaves the list for a time while its link is open.
        board.keep_only([])
        board.keep_only([server])
        self.assertEqual(board.pace(server.endpoint), pace)
        self.assertEqual(board.age_seconds(server.endpoint), 2)
        board.keep_only([replace(server, started_unix_ms=5)])
        self.assertEqual(board.pace(server.endpoint), UNKNOWN_PACE)


if __name__ == '__main__':
    unittest.main()
