"""Tests of an entry's links to agents that go silent for good.

Failure pattern: open connections between machines carry nothing any more while
new ones work; the entry waits for reports and cannot ask for lost streams.
"""

import time
import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

from tests.forwarding_builders import build_request, build_route
from tests.waits import wait_for
from wasabistream.exceptions import LinkError
from wasabistream.forwarding.agent_links import (
    SILENT_LINK_SECONDS,
    AgentLinks,
)
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.move_messages import RunMoving, RunSilent
from wasabistream.forwarding.requests import GenerationDemand
from wasabistream.forwarding.routes import RouteKind
from wasabistream.notices import LoadReport
from wasabistream.paces.engine_paces import EnginePace
from wasabistream.paces.pace_boards import PaceBoard
from wasabistream.paces.pace_reports import build_pace_report
from wasabistream.scheduling.scheduling_messages import PromptNotice

ENDPOINT = '10.0.0.1:8000'
REPORT = LoadReport(0, 30000, 0, 0, 0, leaving=False)


class SilentLinkTest(unittest.TestCase):
    """Guard against links that stay in use though they carry nothing."""

    def setUp(self) -> None:
        """Open a link to one agent."""
        self.load_tracker = LoadTracker()
        self.paces = PaceBoard()
        self.links = AgentLinks(
            Mock(), 7200, self.load_tracker, Mock(), Mock(), self.paces
        )
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

    def test_prompt_notices(self) -> None:
        """Guard against notices to agents that do not know or hold them.

        Requests that these do not report must count as unreported for longer.
        """
        request = build_request(build_route(RouteKind.streaming))
        self.load_tracker.add_sent_request(ENDPOINT, 'request-1', 4000, 3000)
        self.load_tracker.report(ENDPOINT, REPORT)
        self.links.announce_prompt(ENDPOINT, request)
        self.link.send.assert_not_called()
        self.check_estimate(4000, 0, 0)
        self.links.receive(
            ENDPOINT, self.link, build_pace_report(EnginePace(0.03))
        )
        self.links.announce_prompt(ENDPOINT, request)
        self.link.send.assert_called_once()
        self.check_estimate(0, 4000, 3000)
        self.link.send.side_effect = LinkError('link is closed', 'send')
        self.links.end_prompt(ENDPOINT, 'request-1')
        self.links.on_closed(ENDPOINT, self.link)
        self.assertIsNone(self.paces.age_seconds(ENDPOINT))
        self.check_estimate(4000, 0, 0)

    def test_stated_tokens(self) -> None:
        """Guard against numbers of callers that others would count on."""
        self.links.receive(
            ENDPOINT, self.link, build_pace_report(EnginePace(0.03))
        )
        request = build_request(build_route(RouteKind.streaming))
        for tokens, announced in ((-3000, 0), (2**40, 2**31)):
            demand = GenerationDemand(tokens, 0, 0)
            self.links.announce_prompt(
                ENDPOINT, replace(request, demand=demand)
            )
            self.link.send.assert_called_with(
                PromptNotice('request-1', announced, announced)
            )

    def check_estimate(self, used: int, reserved: int, backlog: int) -> None:
        """Check the estimated tokens in use, reserved and not prefilled."""
        estimate = self.load_tracker.estimate(ENDPOINT)
        self.assertEqual(estimate.memory_tokens, used)
        self.assertEqual(estimate.reserved_tokens, reserved)
        self.assertEqual(estimate.backlog_tokens, backlog)

    def test_links_are_watched(self) -> None:
        """Guard against a check that nothing calls."""
        with patch.object(self.links, 'close_silent_links') as close:
            self.links.start()
            self.assertTrue(wait_for(lambda: close.called))


if __name__ == '__main__':
    unittest.main()
