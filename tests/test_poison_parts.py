"""Tests of the ban on parts of prompts that crash servers.

Failure pattern: each request with a part crashes the server that begins to
answer it; no two of the requests are alike, and sound ones share their other
parts.
"""

import unittest

from tests.crash_fleets import ENTRY_COUNT, STEP_SECONDS, CrashFleet
from wasabistream.crash_records import (
    CRASH_HISTORY_SECONDS,
)
from wasabistream.crash_records import (
    MAX_CRASH_COUNT as MAX_RECORD_COUNT,
)
from wasabistream.part_bans import FIRST_CHECK_SECONDS, FIRST_TRIAL_SECONDS
from wasabistream.part_notices import PartAnswerNotice, PartCrashNotice
from wasabistream.poison_parts import (
    BAN_CRASH_COUNT,
    MAX_ANSWERED_PART_COUNT,
    MAX_BAN_COUNT,
)
from wasabistream.prompt_parts import MAX_ID_LENGTH, MAX_PART_COUNT, limit_parts

# Crashes after which requests with the part must not reach servers, but for
# MAX_LATE_COUNT of them.
MAX_CRASH_COUNT = 5
MAX_LATE_COUNT = 3
COMMON = 'common'
DEADLY = 'deadly'
OTHER = 'other'
ALL_ENTRIES = list(range(ENTRY_COUNT))
DAY_SECONDS = 24 * 3600


class PoisonPartTest(unittest.TestCase):
    """Guard against requests that crash one server after the other."""

    def setUp(self) -> None:
        """Start several entries."""
        self.fleet = CrashFleet()

    def crash_all(self, *parts: str) -> None:
        """Let requests with these parts crash servers at different entries."""
        for number in range(MAX_CRASH_COUNT):
            if not self.fleet.refusing_entries(*parts):
                self.fleet.crash(number % ENTRY_COUNT, *parts)

    def test_crashes_at_different_entries_ban_the_part(self) -> None:
        """Guard against requests like no other that share a deadly part."""
        self.crash_all(COMMON, DEADLY)
        self.assertEqual(
            self.fleet.refusing_entries(OTHER, DEADLY), ALL_ENTRIES
        )

    def test_sound_requests_keep_their_service(self) -> None:
        """Guard against a ban on a part that sound requests share."""
        for parts in ((COMMON, DEADLY), (DEADLY, COMMON), (OTHER, DEADLY)):
            with self.subTest(parts=parts):
                self.fleet = CrashFleet()
                self.fleet.answer(1, COMMON, OTHER)
                self.crash_all(*parts)
                self.assertEqual(self.fleet.refusing_entries(COMMON), [])
                self.assertEqual(self.fleet.refusing_entries(OTHER), [])
                self.assertEqual(
                    self.fleet.refusing_entries(DEADLY), ALL_ENTRIES
                )

    def test_answers_between_crashes_clear_the_common_part(self) -> None:
        """Guard against blaming a part that is answered all the while."""
        for number in range(MAX_CRASH_COUNT):
            self.fleet.crash(number, DEADLY, COMMON)
            self.fleet.answer(0, COMMON)
        self.assertEqual(self.fleet.refusing_entries(COMMON), [])
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)

    def test_wrong_choice_among_common_parts_is_corrected(self) -> None:
        """Guard against a ban that stays on the sound one of two parts."""
        self.crash_all(DEADLY, OTHER)
        self.assertEqual(self.fleet.refusing_entries(OTHER), ALL_ENTRIES)
        self.fleet.crash(0, DEADLY, 'third')
        self.assertEqual(self.fleet.refusing_entries(OTHER), [])
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)

    def test_request_with_one_of_two_suspects_is_a_check(self) -> None:
        """Guard against a sound part that waits long for its service."""
        self.crash_all(DEADLY, OTHER)
        self.fleet.clock.advance(FIRST_CHECK_SECONDS)
        self.fleet.answer(2, OTHER, 'third')
        self.assertEqual(self.fleet.refusing_entries(OTHER), [])
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)

    def test_late_and_restarted_entries_apply_the_ban(self) -> None:
        """Guard against entries that missed the crashes."""
        self.fleet.cut_entries = {0}
        for number in range(1, MAX_CRASH_COUNT):
            self.fleet.crash(number, COMMON, DEADLY)
        self.assertNotIn(0, self.fleet.refusing_entries(DEADLY))
        self.fleet.link(0)
        started = self.fleet.start_entry()
        refusing = self.fleet.refusing_entries(DEADLY)
        self.assertIn(0, refusing)
        self.assertIn(started, refusing)

    def test_late_crashes_spare_answered_parts(self) -> None:
        """Guard against blaming parts that were answered since the crashes."""
        self.fleet.cut_entries = {0}
        for number in range(1, MAX_CRASH_COUNT):
            self.fleet.crash(number, COMMON)
        self.fleet.answer(0, COMMON)
        self.fleet.link(0)
        self.assertEqual(self.fleet.refusing_entries(COMMON), [])

    def test_entry_that_starts_after_the_crashes_expired(self) -> None:
        """Guard against a ban that ends with the memory of its crashes."""
        self.crash_all(DEADLY)
        self.fleet.clock.advance(CRASH_HISTORY_SECONDS)
        started = self.fleet.start_entry()
        self.assertIn(started, self.fleet.refusing_entries(DEADLY))

    def test_waiting_requests_are_not_blamed(self) -> None:
        """Guard against blaming requests that waited in the same servers."""
        for number in range(MAX_CRASH_COUNT):
            self.fleet.crash(number, DEADLY)
            self.fleet.report(0, (OTHER,), has_begun=False)
        self.assertEqual(self.fleet.refusing_entries(OTHER), [])
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)

    def test_one_crash_at_many_entries_counts_once(self) -> None:
        """Guard against a ban after one server that many requests waited for."""
        self.fleet.crash(0, COMMON)
        for entry in ALL_ENTRIES:
            self.fleet.report(entry, (COMMON,), has_begun=True)
        self.assertEqual(self.fleet.refusing_entries(COMMON), [])

    def test_crashes_of_another_cause(self) -> None:
        """Guard against a ban on requests of servers that end by themselves."""
        self.crash_all(DEADLY)
        for number in range(MAX_CRASH_COUNT):
            self.fleet.crash(number, f'part-{number}', COMMON)
            self.fleet.answer(number, COMMON)
        self.assertEqual(self.fleet.refusing_entries(COMMON), [])
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)

    def test_answer_in_progress_clears_lost_servers(self) -> None:
        """Guard against a ban on a part that waited in servers of one failure."""
        self.fleet.crash_together(COMMON, OTHER)
        self.fleet.clock.advance(1)
        request = self.fleet.build_request((COMMON, OTHER))
        # Sent before the servers ended, answered a second later.
        self.fleet.guards[0].record_answer(request, STEP_SECONDS)
        self.assertEqual(self.fleet.refusing_entries(COMMON, OTHER), [])

    def test_part_that_was_answered_before_is_tried_soon(self) -> None:
        """Guard against a common part that is refused for long by mistake."""
        self.fleet.answer(0, COMMON, OTHER)
        self.fleet.crash_together(COMMON, OTHER)
        self.fleet.clock.advance(FIRST_CHECK_SECONDS)
        self.fleet.answer(0, COMMON, OTHER)
        self.assertEqual(self.fleet.refusing_entries(COMMON, OTHER), [])

    def test_ban_without_any_answers_is_tried_soon(self) -> None:
        """Guard against refusing everybody after servers ended together.

        Entries that have just started know no answers, and the common part of
        all requests was refused for 45 s.
        """
        self.crash_all(COMMON, OTHER)
        self.assertEqual(self.fleet.refusing_entries(OTHER), ALL_ENTRIES)
        self.fleet.clock.advance(FIRST_CHECK_SECONDS)
        self.fleet.answer(0, COMMON, OTHER)
        self.assertEqual(self.fleet.refusing_entries(OTHER), [])
        self.assertEqual(self.fleet.refusing_entries(COMMON), [])

    def test_part_that_is_sound_again(self) -> None:
        """Guard against a ban without end on a part that has been mended."""
        self.crash_all(DEADLY)
        self.fleet.clock.advance(FIRST_TRIAL_SECONDS)
        self.fleet.answer(0, DEADLY)
        self.assertEqual(self.fleet.refusing_entries(DEADLY), [])

    def test_trials_of_a_deadly_part_are_few(self) -> None:
        """Guard against trials at each entry that go on crashing servers."""
        for was_answered in (False, True):
            with self.subTest(was_answered=was_answered):
                self.fleet = CrashFleet()
                if was_answered:
                    self.fleet.answer(0, COMMON, DEADLY)
                crash_count = self.count_crashes(COMMON, DEADLY)
                self.assertGreater(crash_count, BAN_CRASH_COUNT)
                self.assertLessEqual(
                    crash_count, MAX_CRASH_COUNT + MAX_LATE_COUNT
                )

    def count_crashes(self, *parts: str) -> int:
        """Return the crashes by a request each second, over a day."""
        crash_count = 0
        for second in range(DAY_SECONDS):
            self.fleet.clock.advance(1)
            entry = second % ENTRY_COUNT
            request = self.fleet.build_request(parts)
            if not self.fleet.guards[entry].find_refusal_reason(request):
                crash_count += 1
                self.fleet.crash(entry, *parts)
        return crash_count

    def test_requests_in_progress_end_with_a_ban(self) -> None:
        """Guard against requests that crash servers after the ban.

        They were sent before it; trials, sent after it, may go on.
        """
        detector = self.fleet.detectors[0]
        self.fleet.answer(0, COMMON)
        sent_at_seconds = self.fleet.clock()
        self.crash_all(COMMON, DEADLY)
        self.assertTrue(
            detector.is_certainly_banned_since(
                (COMMON, DEADLY), sent_at_seconds
            )
        )
        self.assertFalse(
            detector.is_certainly_banned_since((COMMON,), sent_at_seconds)
        )
        self.fleet.clock.advance(FIRST_TRIAL_SECONDS)
        self.assertFalse(
            detector.is_certainly_banned_since((DEADLY,), self.fleet.clock())
        )

    def test_doubtful_ban_spares_requests_in_progress(self) -> None:
        """Guard against ending sound requests after a failure of servers."""
        self.fleet.answer(0, COMMON, OTHER)
        sent_at_seconds = self.fleet.clock()
        self.fleet.crash_together(COMMON, OTHER)
        self.assertNotEqual(self.fleet.refusing_entries(COMMON, OTHER), [])
        self.assertFalse(
            self.fleet.detectors[0].is_certainly_banned_since(
                (COMMON, OTHER), sent_at_seconds
            )
        )

    def test_ban_before_the_first_answers_spares_requests(self) -> None:
        """Guard against ending sound requests when entries have just started.

        Servers end together before any part was answered; a request in progress
        may be the first answer, which lifts the ban.
        """
        self.fleet.crash_together(COMMON, OTHER)
        self.assertNotEqual(self.fleet.refusing_entries(COMMON, OTHER), [])
        self.assertFalse(
            self.fleet.detectors[0].is_certainly_banned_since(
                (COMMON, OTHER), 0
            )
        )

    def test_memory_is_bounded(self) -> None:
        """Guard against callers that send other parts each time."""
        detector = self.fleet.detectors[0]
        for number in range(2 * MAX_ANSWERED_PART_COUNT):
            detector.record_answer([f'part-{number}'], 0)
        for number in range(2 * MAX_RECORD_COUNT):
            self.fleet.crash(0, f'part-{number}', 'x' * number)
        for number in range(2 * MAX_BAN_COUNT):
            detector.adopt_ban(f'ban-{number}', 0, 0)
        self.assertLessEqual(len(detector.crashes()), MAX_RECORD_COUNT)
        self.assertLessEqual(len(detector.bans()), MAX_BAN_COUNT)
        self.assertLessEqual(
            len(detector._answered_at_seconds), MAX_ANSWERED_PART_COUNT
        )

    def test_parts_of_a_request_are_limited(self) -> None:
        """Guard against callers that send many or long parts."""
        parts = limit_parts('y' * 1000 for _ in range(1000))
        self.assertEqual(len(parts), MAX_PART_COUNT)
        self.assertLessEqual(len(parts[0]), MAX_ID_LENGTH)

    def test_malformed_notices_change_nothing(self) -> None:
        """Guard against a peer whose notices end the thread of the links."""
        guard = self.fleet.guards[0]
        with self.assertLogs('wasabistream.poison_part_guards', 'WARNING'):
            for _ in range(MAX_CRASH_COUNT):
                self.fleet.clock.advance(STEP_SECONDS)
                guard.on_crash_notice(PartCrashNotice('server', 0, [[]], True))
                guard.on_crash_notice(PartAnswerNotice([7, ['part']]))
        self.assertEqual(self.fleet.refusing_entries(DEADLY), [])
        self.crash_all(DEADLY)
        self.assertEqual(self.fleet.refusing_entries(DEADLY), ALL_ENTRIES)


class PoisonTrialTest(unittest.TestCase):
    """Guard against bans that outlast the failure of servers."""

    def setUp(self) -> None:
        """Start several entries."""
        self.fleet = CrashFleet()

    def test_trial_that_no_server_could_run(self) -> None:
        """Guard against a long ban as all servers are down at its trial.

        Entries that have just started know no answers; servers that end
        together then ban what their requests share.
        """
        self.fleet.crash_together(COMMON, OTHER)
        guard = self.fleet.guards[0]
        for _ in range(3):
            self.fleet.clock.advance(FIRST_CHECK_SECONDS)
            request = self.fleet.build_request((COMMON, OTHER))
            self.assertEqual(guard.find_refusal_reason(request), '')
            other = self.fleet.build_request((COMMON, OTHER))
            self.assertNotEqual(guard.find_refusal_reason(other), '')
            guard.withdraw_trial(request)
