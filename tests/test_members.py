"""Tests of the peer monitor."""

import unittest

from tests.builders import build_vm
from wasabistream.notices import LoadReport
from wasabistream.peer_monitors import (
    DEAD_AFTER_SECONDS,
    PeerMonitor,
    PeerState,
)
from wasabistream.vms import VmState

LEAVING_REPORT = LoadReport(0, 1, 0, 0, 1, leaving=True)


class PeerMonitorTest(unittest.TestCase):
    """Guard the peer states that decide which peers get new work."""

    def setUp(self) -> None:
        """Track one linked peer on a simulated clock."""
        self.now = 100.0
        self.monitor = PeerMonitor(lambda: self.now)
        self.monitor.add_or_update(build_vm('peer'))
        self.monitor.on_link_opened('peer', 'first')

    def test_unlisted_peer_with_link_is_leaving(self) -> None:
        """Guard against cutting off a linked peer that left the VM list."""
        self.monitor.mark_unlisted(['peer'])
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)
        self.monitor.on_link_closed('peer', 'closed by peer')
        self.assertEqual(self.monitor.state('peer'), PeerState.dead)

    def test_listed_peer_without_link_is_dead(self) -> None:
        """Guard against new work for a peer that has lost its link."""
        self.monitor.on_link_closed('peer', 'silent')
        self.assertEqual(self.monitor.state('peer'), PeerState.suspect)
        self.now += DEAD_AFTER_SECONDS
        self.monitor.refresh('time')
        self.assertEqual(self.monitor.state('peer'), PeerState.dead)
        self.monitor.on_link_opened('peer', 'first')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)

    def test_flapping_link_must_stay_up(self) -> None:
        """Guard against a peer that counts as live at each reconnect."""
        for _ in range(4):
            self.monitor.on_link_closed('peer', 'reset')
            self.now += 0.5
            self.monitor.on_link_opened('peer', 'first')
        self.assertEqual(self.monitor.state('peer'), PeerState.suspect)
        self.now += 10
        self.monitor.refresh('time')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)

    def test_leaving_is_not_dead(self) -> None:
        """Guard against treating a leaving peer as dead."""
        self.monitor.report('peer', LEAVING_REPORT)
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)
        self.monitor.add_or_update(build_vm('peer', state=VmState.leaving))
        self.assertEqual(self.monitor.state('peer'), PeerState.leaving)

    def test_new_incarnation_is_not_leaving(self) -> None:
        """Guard against a restarted peer that keeps the leaving state."""
        self.monitor.report('peer', LEAVING_REPORT)
        self.monitor.on_link_opened('peer', 'second')
        self.assertEqual(self.monitor.state('peer'), PeerState.live)
