"""Tests of the choice between local and remote copies of generations.

Failure pattern: the engines of one data centre leave one after another, so
that generations moved to a local engine have to move again.
"""

import random
import unittest
from collections import Counter

from wasabistream.forwarding.copy_rate_estimators import CopyRateEstimator
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_messages import MoveTargetReport
from wasabistream.forwarding.move_targets import (
    choose_move_target,
    decode_move_targets,
)
from wasabistream.messages import decode_message

LOCAL = '10.0.0.2:8000'
REMOTE = '10.0.0.3:8000'
RUNS = [EngineRun(str(number), 3500, 20, 1) for number in range(5)]


class CopyRateEstimatorTest(unittest.TestCase):
    """Guard against moving all generations to the only local engine."""

    def test_remote_copy_is_allowed_with_enough_time(self) -> None:
        """Guard against local copies only, although time allows remote ones."""
        estimator = CopyRateEstimator()
        self.assertTrue(estimator.can_afford_remote_copy(RUNS[0], RUNS, 1.8))

    def test_remote_copy_is_refused_when_time_is_short(self) -> None:
        """Guard against remote copies that leave no time for the rest."""
        estimator = CopyRateEstimator()
        self.assertFalse(estimator.can_afford_remote_copy(RUNS[0], RUNS, 1.2))

    def test_slow_copies_lower_the_rate(self) -> None:
        """Guard against a fixed copy rate that ignores slower links."""
        estimator = CopyRateEstimator()
        for _ in range(5):
            estimator.record_copy(1000, 0.5, remote=True)
        self.assertFalse(estimator.can_afford_remote_copy(RUNS[0], RUNS, 1.8))

    def test_less_loaded_engine_is_chosen(self) -> None:
        """Guard against using a loaded local engine while a remote is idle."""
        rows = [[LOCAL, 'dc-a', 20000, 4], [REMOTE, 'dc-b', 20000, 1]]
        remote = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, remote_affordable=True
        )
        local = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, remote_affordable=False
        )
        self.assertEqual(remote.endpoint if remote else '', REMOTE)
        self.assertEqual(local.endpoint if local else '', LOCAL)

    def test_engines_that_leave_together(self) -> None:
        """Guard against copies of several engines that queue at one target.

        Pattern: one engine in six is taken away at the same moment; their
        agents have the same list of targets.
        """
        rows: list[list[object]] = [
            [f'10.0.0.{number}:8000', 'dc-a', 20000, number // 4]
            for number in range(8)
        ]
        cheapest, sampled = (
            Counter(
                target.endpoint
                for generator in generators
                if (
                    target := choose_move_target(
                        decode_move_targets(rows),
                        'dc-a',
                        4000,
                        remote_affordable=True,
                        generator=generator,
                    )
                )
            )
            for generators in (
                [None for _ in range(5)],
                [random.Random(seed) for seed in range(5)],
            )
        )
        self.assertEqual(cheapest, {'10.0.0.0:8000': 5})
        self.assertEqual(sampled.total(), 5)
        self.assertLessEqual(max(sampled.values()), 2)

    def test_full_data_centre_is_avoided(self) -> None:
        """Guard against moves to a data centre that is short of capacity.

        Pattern: its engine looks idle, as its callers' requests are on the way.
        An earlier entry states no full data centres, and an earlier agent
        reads the rows as before.
        """
        rows = [[LOCAL, 'dc-a', 20000, 4], [REMOTE, 'dc-b', 20000, 1]]
        for full, free, expected in (
            ([], 20000, REMOTE),
            (['dc-b'], 20000, LOCAL),
            (['dc-b'], 100, REMOTE),
            (['dc-a'], 20000, REMOTE),
        ):
            rows[0][2] = free
            targets = decode_move_targets(rows, full)
            target = choose_move_target(
                targets, 'dc-a', 4000, remote_affordable=True
            )
            self.assertEqual(target.endpoint if target else '', expected)
        self.assertEqual(
            decode_message([83, rows], 'entry'), MoveTargetReport(rows, [])
        )

    def test_sole_engine_gets_fewer(self) -> None:
        """Guard against overloading the only engine of a data centre.

        When it leaves, its generations are copied to other data centres, which
        takes twice as long.
        """
        rows = [
            [LOCAL, 'dc-a', 20000, 1],
            [REMOTE, 'dc-b', 20000, 1],
            ['10.0.0.4:8000', 'dc-b', 20000, 3],
        ]
        remote = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, remote_affordable=True
        )
        local = choose_move_target(
            decode_move_targets(rows), 'dc-a', 4000, remote_affordable=False
        )
        self.assertEqual(remote.endpoint if remote else '', REMOTE)
        self.assertEqual(local.endpoint if local else '', LOCAL)
