"""Tests of the quarantine."""

import unittest.mock

from wasabistream.quarantines import (
    BAN_SECONDS,
    MAX_FINGERPRINT_COUNT,
    SUSPICION_SECONDS,
    Quarantine,
    QuarantineDecision,
)

POISON = 7
NEIGHBOUR = 8


class QuarantineTest(unittest.TestCase):
    """Guard engines against contents that crash them again and again."""

    def setUp(self) -> None:
        """Control the clock."""
        patcher = unittest.mock.patch('wasabistream.quarantines.time.monotonic')
        self.clock = patcher.start()
        self.clock.return_value = 1000.0
        self.addCleanup(patcher.stop)
        self.quarantine = Quarantine()

    def test_banned_after_two_crashes(self) -> None:
        """Guard against a third engine lost to one content."""
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
        """Guard against a ban by one crash that is told twice."""
        self.assertTrue(self.quarantine.record_crash('a', [POISON]))
        self.assertFalse(self.quarantine.record_crash('a', [POISON]))
        self.assertEqual(
            self.quarantine.check(POISON), QuarantineDecision.suspect
        )

    def test_neighbour_is_cleared(self) -> None:
        """Guard against holding a harmless content under suspicion."""
        self.quarantine.record_crash('a', [POISON, NEIGHBOUR])
        self.assertTrue(self.quarantine.record_completion(NEIGHBOUR))
        self.assertEqual(
            self.quarantine.check(NEIGHBOUR), QuarantineDecision.clear
        )

    def test_one_trial_after_ban(self) -> None:
        """Guard against a rush of a content whose ban has ended."""
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

    def test_suspicion_ends(self) -> None:
        """Guard against suspicion that outlives its cause."""
        self.quarantine.record_crash('a', [NEIGHBOUR, POISON])
        self.clock.return_value += SUSPICION_SECONDS
        self.assertEqual(
            self.quarantine.check(NEIGHBOUR), QuarantineDecision.clear
        )

    def test_table_is_bounded(self) -> None:
        """Guard memory against many different contents."""
        self.quarantine.record_crash('a', range(MAX_FINGERPRINT_COUNT + 5))
        self.assertEqual(self.quarantine.count, MAX_FINGERPRINT_COUNT)
