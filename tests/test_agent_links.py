"""Tests of an entry's links to agents that go silent for good.

Failure pattern: open connections between machines carry nothing any more while
new ones work; the entry waits for reports and cannot ask for lost streams.
"""

import time
import unittest
from unittest.mock import Mock, patch

from tests.waits import wait_for
from wasabistream.forwarding.agent_links import (
    SILENT_LINK_SECONDS,
    AgentLinks,
)
from wasabistream.forwarding.move_messages import RunMoving, RunSilent
from wasabistream.notices import LoadReport

ENDPOINT = '10.0.0.1:8000'
REPORT = LoadReport(0, 30000, 0, 0, 0, leaving=False)


class SilentLinkTest(unittest.TestCase):
    """Guard against links that stay in use though they carry nothing."""

    def setUp(self) -> None:
        """Open a link to one agent."""
        self.links = AgentLinks(Mock(), 7200, Mock(), Mock(), Mock())
        self.addCleanup(self.links.stop)
        self.link = Mock()
        self.links.on_opened(ENDPOINT, self.link)

    def pass_time(self, seconds: float) -> None:
        """Look for silent links after some seconds."""
        later = time.monotonic() + seconds
        with patch('time.monotonic', return_value=later):
            self.links.close_silent_links()

    def test_silent_link(self) -> None:
        """Guard against waiting six seconds for a link that is silent."""
        self.links.receive(ENDPOINT, self.link, REPORT)
        self.pass_time(SILENT_LINK_SECONDS / 2)
        self.link.close.assert_not_called()
        self.pass_time(SILENT_LINK_SECONDS + 1)
        self.link.close.assert_called_once()

    def test_report(self) -> None:
        """Guard against requests that wait for room after a report of it."""
        self.links.on_load_report = Mock()
        self.links.receive(ENDPOINT, self.link, RunMoving('r1'))
        self.links.on_load_report.assert_not_called()
        self.links.receive(ENDPOINT, self.link, REPORT)
        self.links.on_load_report.assert_called_once()

    def test_link_without_reports(self) -> None:
        """Guard against closing the link to an agent whose engine starts."""
        self.pass_time(SILENT_LINK_SECONDS + 1)
        self.link.close.assert_not_called()

    def test_new_link(self) -> None:
        """Guard against closing the new link for the silence of the old."""
        self.links.receive(ENDPOINT, self.link, REPORT)
        new_link = Mock()
        self.links.on_opened(ENDPOINT, new_link)
        self.links.on_closed(ENDPOINT, self.link)
        self.pass_time(SILENT_LINK_SECONDS + 1)
        new_link.close.assert_not_called()
        self.links.report_silent_run(ENDPOINT, 'r1', 3)
        new_link.send.assert_called_once_with(RunSilent('r1', 3))

    def test_links_are_watched(self) -> None:
        """Guard against a check that nothing calls."""
        with patch.object(self.links, 'close_silent_links') as close:
            self.links.start()
            self.assertTrue(wait_for(lambda: close.called))


if __name__ == '__main__':
    unittest.main()
