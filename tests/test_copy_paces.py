"""Tests of the choice between near and far copies.

Pattern: engines of one data centre leave one after the other, so that what
moved to the nearest one has to move again.
"""

import unittest

from wasabistream.forwarding.copy_rate_estimators import CopyRateEstimator
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_targets import (
    choose_move_target,
    decode_move_targets,
)

NEAR = '10.0.0.2:8000'
FAR = '10.0.0.3:8000'
RUNS = [EngineRun(str(number), 3500, 20, 1) for number in range(5)]


class CopyPaceTest(unittest.TestCase):
    """Guard against drafts that all go to the one near engine."""

    def test_far_while_there_is_time(self) -> None:
        """Guard against a near engine that gets all drafts."""
        estimator = CopyRateEstimator()
        self.assertTrue(estimator.allows_remote_copy(RUNS[0], RUNS, 1.8))

    def test_near_when_time_is_short(self) -> None:
        """Guard against far copies that leave no time for the rest."""
        estimator = CopyRateEstimator()
        self.assertFalse(estimator.allows_remote_copy(RUNS[0], RUNS, 1.2))

    def test_slow_links_are_learnt(self) -> None:
        """Guard against a pace that holds for one deployment only."""
        estimator = CopyRateEstimator()
        for _ in range(5):
            estimator.record_copy(1000, 0.5, remote=True)
        self.assertFalse(estimator.allows_remote_copy(RUNS[0], RUNS, 1.8))

    def test_less_loaded_engine_is_chosen(self) -> None:
        """Guard against the near engine while a far one is empty."""
        rows = [[NEAR, 'dc-a', 20000, 4], [FAR, 'dc-b', 20000, 1]]
        far = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, allow_remote=True
        )
        near = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, allow_remote=False
        )
        self.assertEqual(far.endpoint if far else '', FAR)
        self.assertEqual(near.endpoint if near else '', NEAR)

    def test_lonely_engine_gets_fewer(self) -> None:
        """Guard against a last near engine that cannot hand over its drafts.

        Copies from it go to other data centres and take twice as long.
        """
        rows = [
            [NEAR, 'dc-a', 20000, 1],
            [FAR, 'dc-b', 20000, 1],
            ['10.0.0.4:8000', 'dc-b', 20000, 3],
        ]
        far = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, allow_remote=True
        )
        near = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, allow_remote=False
        )
        self.assertEqual(far.endpoint if far else '', FAR)
        self.assertEqual(near.endpoint if near else '', NEAR)
