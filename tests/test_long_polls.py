"""Tests of the times of long polls."""

import unittest

from wasabistream.long_polls import (
    FIRST_WAIT_SECONDS,
    JITTER_RATIOS,
    LongPollPacer,
    build_long_poll_limits,
)
from wasabistream.platform.store_followers import (
    RETRY_MAX_SECONDS,
    RETRY_MIN_SECONDS,
)

RECOVERY_SECONDS = (2.0, 3.0, 8.0, 30.0)


class LongPollTest(unittest.TestCase):
    """Guard against contents that are outdated for longer than the bound."""

    def test_lost_answer_is_replaced_in_time(self) -> None:
        """Guard against a lost poll, a pause and a next poll past the bound."""
        for recovery_seconds in RECOVERY_SECONDS:
            limits = build_long_poll_limits(recovery_seconds)
            pause_seconds = RETRY_MAX_SECONDS * max(JITTER_RATIOS)
            with self.subTest(recovery_seconds=recovery_seconds):
                self.assertLess(
                    limits.timeout_seconds + pause_seconds, recovery_seconds
                )
                self.assertLess(limits.wait_seconds, limits.timeout_seconds)

    def test_first_poll_after_a_failure_is_short(self) -> None:
        """Guard against another long wait right after a lost answer."""
        limits = build_long_poll_limits(RECOVERY_SECONDS[0])
        pacer = LongPollPacer(limits, RETRY_MIN_SECONDS, RETRY_MAX_SECONDS)
        self.assertEqual(pacer.choose_wait_seconds(), limits.wait_seconds)
        pacer.record_failure()
        self.assertEqual(pacer.choose_wait_seconds(), FIRST_WAIT_SECONDS)
        pacer.record_answer()
        self.assertEqual(pacer.choose_wait_seconds(), limits.wait_seconds)

    def test_pauses_grow_up_to_a_limit(self) -> None:
        """Guard against pauses that outlast the bound or load a failing peer."""
        pacer = LongPollPacer(
            build_long_poll_limits(RECOVERY_SECONDS[0]),
            RETRY_MIN_SECONDS,
            RETRY_MAX_SECONDS,
        )
        pauses = [pacer.record_failure() for _ in range(9)]
        self.assertGreaterEqual(
            min(pauses), RETRY_MIN_SECONDS * min(JITTER_RATIOS)
        )
        self.assertLessEqual(
            max(pauses), RETRY_MAX_SECONDS * max(JITTER_RATIOS)
        )
        self.assertGreater(pauses[-1], pauses[0])
