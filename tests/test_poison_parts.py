"""Tests of the ban on parts of prompts that crash servers.

Failure pattern: each request with a part crashes the server that begins to
answer it; no two of the requests are alike, and sound ones share their other
parts.
"""

import unittest

from tests.crash_fleets import ENTRY_COUNT, CrashFleet

# Crashes after which requests with the part must not reach servers.
MAX_CRASH_COUNT = 5
COMMON = 'common'
DEADLY = 'deadly'
ALL_ENTRIES = list(range(ENTRY_COUNT))


class PoisonPartTest(unittest.TestCase):
    """Guard against requests that crash one server after the other."""

    def setUp(self) -> None:
        """Start several entries."""
        self.fleet = CrashFleet()

    def test_crashes_at_different_entries_ban_the_part(self) -> None:
        """Guard against requests like no other that share a deadly part."""
        for number in range(MAX_CRASH_COUNT):
            self.fleet.crash(number % ENTRY_COUNT, COMMON, DEADLY)
        self.assertEqual(
            self.fleet.refusing_entries('other', DEADLY), ALL_ENTRIES
        )
