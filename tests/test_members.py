"""Tests of the member view."""

import unittest

from tests.builders import build_vm
from wasabistream.members import DEAD_SECONDS, MemberState, MemberView
from wasabistream.notices import LoadReport
from wasabistream.vms import VmState

LEAVING_REPORT = LoadReport(0, 1, 0, 0, 1, leaving=True)


class MemberViewTest(unittest.TestCase):
    """Guard which peers get new work as list and links change."""

    def setUp(self) -> None:
        """Follow one linked peer with a clock of the test."""
        self.now = 100.0
        self.members = MemberView(lambda: self.now)
        self.members.follow(build_vm('peer'))
        self.members.opened('peer', 'first')

    def test_unlisted_peer_with_link_leaves(self) -> None:
        """Guard against cutting the work of a peer that left the list."""
        self.members.unlist(['peer'])
        self.assertEqual(self.members.state('peer'), MemberState.leaving)
        self.members.closed('peer', 'closed by peer')
        self.assertEqual(self.members.state('peer'), MemberState.dead)

    def test_listed_peer_without_link(self) -> None:
        """Guard against work for a peer whose link is dead."""
        self.members.closed('peer', 'silent')
        self.assertEqual(self.members.state('peer'), MemberState.suspect)
        self.now += DEAD_SECONDS
        self.members.refresh('time')
        self.assertEqual(self.members.state('peer'), MemberState.dead)
        self.members.opened('peer', 'first')
        self.assertEqual(self.members.state('peer'), MemberState.live)

    def test_flapping_link_must_hold(self) -> None:
        """Guard against a peer that changes state at each reconnect."""
        for _ in range(4):
            self.members.closed('peer', 'reset')
            self.now += 0.5
            self.members.opened('peer', 'first')
        self.assertEqual(self.members.state('peer'), MemberState.suspect)
        self.now += 10
        self.members.refresh('time')
        self.assertEqual(self.members.state('peer'), MemberState.live)

    def test_leaving_is_not_dead(self) -> None:
        """Guard against treating a leaving peer as gone."""
        self.members.report('peer', LEAVING_REPORT)
        self.assertEqual(self.members.state('peer'), MemberState.leaving)
        self.members.follow(build_vm('peer', state=VmState.leaving))
        self.assertEqual(self.members.state('peer'), MemberState.leaving)

    def test_new_incarnation_starts_afresh(self) -> None:
        """Guard against the leaving state of a process that was replaced."""
        self.members.report('peer', LEAVING_REPORT)
        self.members.opened('peer', 'second')
        self.assertEqual(self.members.state('peer'), MemberState.live)
