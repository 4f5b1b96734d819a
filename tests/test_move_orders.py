"""Tests of the order in which generations leave an engine.

Pattern: a crowded engine leaves with more drafts than its notice allows to
copy, so that the order decides which of them are lost.
"""

import unittest

from wasabistream.forwarding.copy_paces import TOKEN_SECONDS, CopyPace
from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_orders import choose_next_run

# A long prompt far into its answer, and short prompts halfway.
LARGE = EngineRun('large', 6000, 300, 1)
SMALL = tuple(EngineRun(f'small-{one}', 2400, 150, 1) for one in range(4))


def saved_ids(runs: tuple[EngineRun, ...], notice_seconds: float) -> list[str]:
    """Return which generations are copied before the notice ends."""
    pace = CopyPace()
    left = list(runs)
    saved: list[str] = []
    while left:
        run = choose_next_run(left, notice_seconds, pace)
        left.remove(run)
        notice_seconds -= run.memory_tokens * TOKEN_SECONDS
        if notice_seconds >= 0:
            saved.append(run.run_id)
    return saved


class MoveOrderTest(unittest.TestCase):
    """Guard against a notice spent on few large generations."""

    def test_short_copies_go_first(self) -> None:
        """Guard against one large copy in place of two small ones."""
        saved = saved_ids((LARGE, *SMALL), 0.6)
        self.assertEqual(len(saved), 4)

    def test_all_are_saved_in_time(self) -> None:
        """Guard against generations that are passed over for good."""
        saved = saved_ids((LARGE, *SMALL), 1.0)
        self.assertEqual(len(saved), 5)

    def test_longer_of_equal_size_goes_first(self) -> None:
        """Guard against losing the work of a generation near its end."""
        fresh = EngineRun('fresh', 3000, 2, 1)
        advanced = EngineRun('advanced', 3000, 180, 1)
        run = choose_next_run((fresh, advanced), None, CopyPace())
        self.assertEqual(run.run_id, 'advanced')

    def test_copy_without_time_is_last(self) -> None:
        """Guard against a copy that the engine's end breaks off."""
        large = EngineRun('large', 6000, 500, 1)
        run = choose_next_run((large, SMALL[0]), 0.2, CopyPace())
        self.assertEqual(run.run_id, SMALL[0].run_id)
        alone = choose_next_run((large,), 0.2, CopyPace())
        self.assertEqual(alone.run_id, 'large')
