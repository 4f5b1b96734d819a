"""Tests of the quarantine."""

import unittest.mock

from wasabistream.quarantines import (
    BAN_SECONDS,
    CRASH_HISTORY_SECONDS,
    MAX_FINGERPRINT_COUNT,
    Quarantine,
    QuarantineDecision,
)

POISON = 7
NEIGHBOUR = 8


class QuarantineTest(unittest.TestCase):
    """Guard engines against requests that crash them repeatedly."""

    def setUp(self) -> None:
        """Replace the monotonic clock."""
        patcher = unittest.mock.patch('wasabistream.quarantines.time.monotonic')
        self.clock = patcher.start()
        self.clock.return_value = 1000.0
        self.addCleanup(patcher.stop)
        self.quarantine = Quarantine()

    def test_banned_after_two_crashes(self) -> None:
        """Guard against a third crash by the same request."""
        self.quarantine.record_crash('a', [POISON, NEIGHBOUR])
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.suspect
        )
        self.quarantine.record_crash('b', [POISON])
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.banned
        )
        self.assertEqual(
            self.quarantine.check(NEIGHBOUR), QuarantineDecision.suspect
        )

    def test_notice_counts_once(self) -> None:
        """Guard against a ban by one crash that is reported twice."""
        self.assertTrue(self.quarantine.record_crash('a', [POISON]))
        self.assertFalse(self.quarantine.record_crash('a', [POISON]))
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.suspect
        )

    def test_neighbour_is_cleared(self) -> None:
        """Guard against suspicion of a request that ran to its end."""
        self.quarantine.record_crash('a', [POISON, NEIGHBOUR])
        self.assertTrue(self.quarantine.record_completion(NEIGHBOUR))
        self.assertEqual(
            self.quarantine.check(NEIGHBOUR), QuarantineDecision.clear
        )

    def test_one_trial_after_ban(self) -> None:
        """Guard against many runs of a request whose ban has just ended."""
        self.quarantine.record_crash('a', [POISON])
        self.quarantine.record_crash('b', [POISON])
        self.clock.return_value += BAN_SECONDS
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.suspect
        )
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.banned
        )
        self.quarantine.record_crash('c', [POISON])
        self.clock.return_value += BAN_SECONDS - 1
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.banned
        )

    def test_crash_history_expires(self) -> None:
        """Guard against a crash history that never expires."""
        self.quarantine.record_crash('a', [NEIGHBOUR, POISON])
        self.clock.return_value += CRASH_HISTORY_SECONDS
        self.assertEqual(
            self.quarantine.check(NEIGHBOUR), QuarantineDecision.clear
        )

    def test_table_is_bounded(self) -> None:
        """Guard against unbounded memory by many different requests."""
        self.quarantine.record_crash('a', range(MAX_FINGERPRINT_COUNT + 5))
        self.assertEqual(self.quarantine.history_count, MAX_FINGERPRINT_COUNT)
