"""Tests of the member view."""

import unittest

from tests.builders import build_vm
from wasabistream.notices import LoadReport
from wasabistream.peer_monitors import DEAD_SECONDS, PeerMonitor, PeerState
from wasabistream.vms import VmState

LEAVING_REPORT = LoadReport(0, 1, 0, 0, 1, leaving=True)


class PeerMonitorTest(unittest.TestCase):
    """Guard which peers get new work as list and links change."""

    def setUp(self) -> None:
        """Follow one linked peer with a clock of the test."""
        self.now = 100.0
        self.monitor = PeerMonitor(lambda: self.now)
        self.monitor.follow(build_vm('peer'))
        self.monitor.on_link_opened('peer', 'first')

    def test_unlisted_peer_with_link_leaves(self) -> None:
        """Guard against cutting the work of a peer that left the list."""
        self.monitor.unlist(['peer'])
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)
        self.monitor.on_link_closed('peer', 'closed by peer')
        self.assertEqual(self.monitor.state('peer'), PeerState.dead)

    def test_listed_peer_without_link(self) -> None:
        """Guard against work for a peer whose link is dead."""
        self.monitor.on_link_closed('peer', 'silent')
        self.assertEqual(self.monitor.state('peer'), PeerState.suspect)
        self.now += DEAD_SECONDS
        self.monitor.refresh('time')
        self.assertEqual(self.monitor.state('peer'), PeerState.dead)
        self.monitor.on_link_opened('peer', 'first')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)

    def test_flapping_link_must_hold(self) -> None:
        """Guard against a peer that changes state at each reconnect."""
        for _ in range(4):
            self.monitor.on_link_closed('peer', 'reset')
            self.now += 0.5
            self.monitor.on_link_opened('peer', 'first')
        self.assertEqual(self.monitor.state('peer'), PeerState.suspect)
        self.now += 10
        self.monitor.refresh('time')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)

    def test_leaving_is_not_dead(self) -> None:
        """Guard against treating a leaving peer as gone."""
        self.monitor.report('peer', LEAVING_REPORT)
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)
        self.monitor.follow(build_vm('peer', state=VmState.leaving))
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)

    def test_new_incarnation_starts_afresh(self) -> None:
        """Guard against the leaving state of a process that was replaced."""
        self.monitor.report('peer', LEAVING_REPORT)
        self.monitor.on_link_opened('peer', 'second')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)
