"""Tests of announced prompts, from the entry that sends to all others.

Load pattern: thirty entries choose engines from the same reports, so that
prompts which are not reported yet go to the same engine.
"""

import math
import unittest
from unittest.mock import Mock, call, patch

from tests.forwarding_builders import PORT, Clock, build_request, build_route
from tests.simulated_engines import build_state
from wasabistream.forwarding.engine_watchers import EngineWatcher
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.requests import Continuation
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.notices import LoadReport
from wasabistream.paces.prompt_backlogs import (
    BacklogTokens,
    PromptBacklog,
)
from wasabistream.scheduling.prompt_announcers import PromptAnnouncer
from wasabistream.scheduling.scheduling_messages import PromptNotice

ENDPOINT = f'10.0.0.1:{PORT}'


def build_notice(request_id: str) -> PromptNotice:
    """Return the notice of a generation."""
    return PromptNotice(request_id, prompt_tokens=3000, expected_tokens=4000)


class PromptBacklogTest(unittest.TestCase):
    """Guard against prompts that count too long, or not at all."""

    def setUp(self) -> None:
        """Announce two prompts over two links, one of them twice."""
        self.backlog = PromptBacklog()
        for link, name in (('link-1', 'a'), ('link-2', 'b'), ('link-1', 'a')):
            self.backlog.add(link, build_notice(name), 100)

    def prompt_tokens(self) -> int:
        """Return the prompt tokens of the backlog."""
        tokens = self.backlog.measure(build_state({}), 0)
        return tokens.backlog_tokens

    def test_removal(self) -> None:
        """Guard against prompts of ended attempts and of dead entries."""
        self.assertEqual(self.prompt_tokens(), 6000)
        self.assertFalse(self.backlog.end('link-2', 'a'))
        self.assertTrue(self.backlog.end('link-1', 'a'))
        self.assertTrue(self.backlog.drop_link('link-2'))
        self.assertEqual(self.prompt_tokens(), 0)
        self.setUp()
        self.backlog.observe(build_state({'a': 1, 'b': 0}), 102)
        self.assertEqual(self.prompt_tokens(), 3000)
        self.backlog.observe(build_state({}), 111)
        self.assertEqual(self.prompt_tokens(), 0)

    def test_tokens(self) -> None:
        """Guard against memory that is counted as used and as reserved."""
        # Of the memory in use, generation c without events has 1000 tokens.
        state = build_state({'c': 0, 'd': 100, 'e': 390})
        tokens = self.backlog.measure(state, 200)
        self.assertEqual(tokens, BacklogTokens(6000, 7000, 400))


class WatcherReportTest(unittest.TestCase):
    """Guard against reports of prompts that are late or too many."""

    def setUp(self) -> None:
        """Watch an idle engine."""
        self.clock = Clock()
        self.reports: list = []
        self.watcher = EngineWatcher(
            Mock(), ENDPOINT, self.reports.append, Mock(), self.clock
        )
        self.watcher.on_state(build_state({}))
        patcher = patch('wasabistream.forwarding.engine_watchers.link_loop')
        self.loop = patcher.start()
        self.addCleanup(patcher.stop)

    def test_reports_without_notices(self) -> None:
        """Guard against other reports for services that are not scheduled."""
        self.reports.clear()
        for number in range(20):
            self.clock.advance(0.051)
            self.watcher.on_state(build_state({'a': number + 1}))
        reports = [one for one in self.reports if isinstance(one, LoadReport)]
        self.assertEqual(len(reports), 10)
        used_tokens = reports[0].memory_used_tokens
        self.assertEqual(
            reports[0],
            LoadReport(
                used_tokens, 30000, 1, 0, 0, False, limit_per_second=math.inf
            ),
        )

    def test_early_reports(self) -> None:
        """Guard against prompts that others hear of at the next poll."""
        self.clock.advance(0.021)
        for name in 'abc':
            self.watcher.announce_prompt('link', build_notice(name))
        self.assertEqual(self.reports[-1].backlog_tokens, 3000)
        # A poll between the notices and their report must not prevent it.
        self.watcher.on_state(build_state({}))
        self.assertEqual(len(self.reports), 2)
        self.loop.spawn.assert_called_once()
        planned_report = self.loop.spawn.call_args.args[0]
        self.assertLess(next(planned_report).seconds, 0.021)
        self.assertIsNone(next(planned_report, None))
        self.assertEqual(self.reports[-1].backlog_tokens, 9000)
        self.clock.advance(0.021)
        self.watcher.drop_link('link')
        self.assertEqual(self.reports[-1].backlog_tokens, 0)

    def test_thirty_entries(self) -> None:
        """Guard against entries that do not see one another's prompts."""
        trackers = [LoadTracker(self.clock) for _ in range(30)]
        for tracker in trackers:
            name = f'request-{id(tracker)}'
            tracker.add_sent_request(ENDPOINT, name, 4000, 3000)
            tracker.record_announcement(ENDPOINT, name)
            self.watcher.announce_prompt(tracker, build_notice(name))
            self.clock.advance(0.001)
        self.clock.advance(0.021)
        self.watcher.on_state(build_state({}))
        # The report is 20 ms old when it arrives.
        self.clock.advance(0.02)
        for tracker in trackers:
            tracker.report(ENDPOINT, self.reports[-1])
            estimate = tracker.estimate(ENDPOINT)
            self.assertEqual(estimate.backlog_tokens, 30 * 3000)
            self.assertEqual(estimate.reserved_tokens, 30 * 4000)

    def test_report_right_after_the_notice(self) -> None:
        """Guard against counting a prompt twice until the next report.

        Pattern: the agent reports a notice at once, and then nothing changes.
        """
        self.clock.advance(0.021)
        tracker = LoadTracker(self.clock)
        tracker.report(ENDPOINT, self.reports[-1])
        tracker.add_sent_request(ENDPOINT, 'a', 4000, 3000)
        tracker.record_announcement(ENDPOINT, 'a')
        # Without a report since then, only the entry counts the prompt.
        self.clock.advance(0.051)
        self.assertEqual(tracker.estimate(ENDPOINT).backlog_tokens, 3000)
        tracker.add_sent_request(ENDPOINT, 'a', 4000, 3000)
        tracker.record_announcement(ENDPOINT, 'a')
        self.watcher.announce_prompt('link', build_notice('a'))
        self.clock.advance(0.002)
        tracker.report(ENDPOINT, self.reports[-1])
        self.clock.advance(0.049)
        estimate = tracker.estimate(ENDPOINT)
        self.assertEqual(estimate.backlog_tokens, 3000)
        self.assertEqual(estimate.reserved_tokens, 4000)


class PromptAnnouncerTest(unittest.TestCase):
    """Guard against prompts that are announced wrongly or never end."""

    def test_announcements(self) -> None:
        """Guard against an announcement that outlives the wait it is for."""
        request = build_request(build_route(RouteKind.streaming))
        moved = Continuation('10.0.0.2:8000', 'handle', '7')
        end = call.end_prompt(ENDPOINT, request.request_id)
        for scheduled, continuation, events, expected in (
            (True, None, 2, [call.announce_prompt(ENDPOINT, request), end]),
            (True, None, 0, [call.announce_prompt(ENDPOINT, request), end]),
            (True, moved, 2, []),
            (False, None, 2, []),
        ):
            notifier = Mock()
            announcer = PromptAnnouncer(
                notifier, {request.service: scheduled}.__getitem__
            )
            watch = RequestWatch(request, Mock())
            with announcer.announce(ENDPOINT, watch, continuation):
                for _ in range(events):
                    watch.record_event()
                    self.assertEqual(notifier.mock_calls, expected)
            self.assertEqual(notifier.mock_calls, expected)


if __name__ == '__main__':
    unittest.main()
