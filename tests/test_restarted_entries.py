"""Tests of entries that restart after requests have crashed servers.

Failure pattern: entries are restarted in turn, and a banned request crashes two
more servers through each one that is back.
"""

import unittest

from tests.crash_fleets import CrashFleet
from tests.forwarding_builders import build_request, build_server

SERVER_COUNT = 2


class RestartedEntryTest(unittest.TestCase):
    """Guard against bans that only the entries know that saw the crashes."""

    def test_entry_that_starts_after_the_ban(self) -> None:
        """Guard against sending a banned request again."""
        fleet = CrashFleet()
        request = build_request()
        for number in range(SERVER_COUNT):
            fleet.guards[0].record_lost_answer(
                build_server(number + 1), request, has_begun=True
            )
        restarted = fleet.guards[fleet.start_entry()]
        self.assertTrue(restarted.find_refusal_reason(request))

    def test_entry_that_is_linked_again(self) -> None:
        """Guard against a crash that counts twice, or is lost with a link."""
        fleet = CrashFleet()
        request = build_request()
        fleet.cut_entries.add(1)
        fleet.guards[0].record_lost_answer(
            build_server(1), request, has_begun=True
        )
        fleet.link(1)
        fleet.link(1)
        self.assertEqual(fleet.guards[1].find_refusal_reason(request), '')
        fleet.guards[1].record_lost_answer(
            build_server(2), request, has_begun=True
        )
        self.assertTrue(fleet.guards[1].find_refusal_reason(request))


if __name__ == '__main__':
    unittest.main()
