"""Tests of the quarantine."""

import unittest.mock

from wasabistream.quarantines import (
    BAN_SECONDS,
    CRASH_HISTORY_SECONDS,
    MAX_FINGERPRINT_COUNT,
    MAX_TOLD_FINGERPRINT_COUNT,
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

    def tell(self) -> Quarantine:
        """Return the quarantine of a process that has just been told."""
        other = Quarantine()
        for notice in self.quarantine.describe():
            other.record_crash(
                notice.crash_id,
                notice.fingerprints,
                notice.request_count,
                notice.age_seconds,
            )
        return other

    def crash_twice(self) -> None:
        """Ban the poison request, beside a neighbour."""
        self.quarantine.record_crash('a', [POISON, NEIGHBOUR])
        self.quarantine.record_crash('b', [POISON])

    def test_process_that_starts_later(self) -> None:
        """Guard against two more crashes at each process that restarts."""
        self.crash_twice()
        other = self.tell()
        self.assertEqual(other.check(POISON), QuarantineDecision.banned)
        self.assertEqual(other.check(NEIGHBOUR), QuarantineDecision.suspect)
        self.assertFalse(other.record_crash('b', [POISON]))

    def test_told_ban_ends_in_time(self) -> None:
        """Guard against a ban that each process that restarts renews."""
        self.crash_twice()
        self.clock.return_value += BAN_SECONDS - 1
        other = self.tell()
        self.assertTrue(other.is_banned(POISON))
        self.clock.return_value += 1
        self.assertFalse(other.is_banned(POISON))
        self.assertFalse(self.tell().is_banned(POISON))

    def test_told_suspicion_ends_in_time(self) -> None:
        """Guard against suspicion that each process that restarts renews."""
        self.quarantine.record_crash('a', [POISON])
        self.clock.return_value += CRASH_HISTORY_SECONDS - 1
        other = self.tell()
        self.assertEqual(other.check(POISON), QuarantineDecision.suspect)
        self.clock.return_value += 1
        self.assertEqual(other.check(POISON), QuarantineDecision.clear)
        self.assertEqual(self.quarantine.describe(), [])

    def test_cleared_request_is_not_told(self) -> None:
        """Guard against suspicion of a request that ran to its end."""
        self.quarantine.record_crash('a', [POISON, NEIGHBOUR])
        self.quarantine.record_completion(NEIGHBOUR)
        other = self.tell()
        self.assertEqual(other.check(NEIGHBOUR), QuarantineDecision.clear)
        self.assertEqual(other.crash_count(POISON), 1)

    def test_many_neighbours(self) -> None:
        """Guard against neighbours that take the place of the cause."""
        self.crash_twice()
        for number in range(MAX_TOLD_FINGERPRINT_COUNT):
            self.quarantine.record_crash(f'c{number}', [100 + number])
        notices = self.quarantine.describe()
        self.assertLessEqual(len(notices), MAX_TOLD_FINGERPRINT_COUNT + 1)
        self.assertTrue(self.tell().is_banned(POISON))

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
