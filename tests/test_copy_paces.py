"""Tests of the choice between near and far copies.

Pattern: engines of one data centre leave one after the other, so that what
moved to the nearest one has to move again.
"""

import unittest

from wasabistream.forwarding.copy_paces import CopyPace
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.rooms import choose_room, decode_rooms

NEAR = '10.0.0.2:8000'
FAR = '10.0.0.3:8000'
RUNS = [EngineRun(str(one), 3500, 20, 1) for one in range(5)]


class CopyPaceTest(unittest.TestCase):
    """Guard against drafts that all go to the one near engine."""

    def test_far_while_there_is_time(self) -> None:
        """Guard against a near engine that gets all drafts."""
        pace = CopyPace()
        self.assertTrue(pace.may_go_far(RUNS[0], RUNS, 1.8))

    def test_near_when_time_is_short(self) -> None:
        """Guard against far copies that leave no time for the rest."""
        pace = CopyPace()
        self.assertFalse(pace.may_go_far(RUNS[0], RUNS, 1.2))

    def test_slow_links_are_learnt(self) -> None:
        """Guard against a pace that holds for one deployment only."""
        pace = CopyPace()
        for _ in range(5):
            pace.copied(1000, 0.5, far=True)
        self.assertFalse(pace.may_go_far(RUNS[0], RUNS, 1.8))

    def test_less_loaded_engine_is_chosen(self) -> None:
        """Guard against the near engine while a far one is empty."""
        rows = [[NEAR, 'dc-a', 20000, 4], [FAR, 'dc-b', 20000, 1]]
        far = choose_room(decode_rooms(rows), 'dc-a', 4000, may_go_far=True)
        near = choose_room(decode_rooms(rows), 'dc-a', 4000, may_go_far=False)
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
        far = choose_room(decode_rooms(rows), 'dc-a', 4000, may_go_far=True)
        near = choose_room(decode_rooms(rows), 'dc-a', 4000, may_go_far=False)
        self.assertEqual(far.endpoint if far else '', FAR)
        self.assertEqual(near.endpoint if near else '', NEAR)
