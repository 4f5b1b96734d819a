"""Tests of the explanation of a selection for a scheduled service."""

import unittest
from unittest.mock import Mock

from tests.scheduling_builders import (
    SchedulingEntry,
    build_engines,
    build_letter,
    build_tag,
)
from wasabistream.route_queries.scheduling_explainers import (
    SchedulingExplainer,
)


class SchedulingExplainerTest(unittest.TestCase):
    """Guard against an explanation that differs from the selection."""

    def setUp(self) -> None:
        """Create an entry that knows one idle and one busy engine."""
        engines = build_engines(3)
        self.busy = engines[-1]
        self.entry = SchedulingEntry(engines)
        self.entry.report(engines[0], used_tokens=20000)
        self.entry.report(self.busy, backlog_tokens=300000)
        self.queue = Mock()
        self.queue.find_wait_reason.return_value = ''
        self.explainer = SchedulingExplainer(
            self.entry.scheduled.find_reason,
            self.entry.chooser,
            self.queue,
            Mock(return_value=None),
            Mock(return_value=0.4),
        )

    def test_chances_are_those_of_the_selection(self) -> None:
        """Guard against stated chances that no selection follows."""
        request = build_tag()
        verdicts = self.entry.chooser.explain(request)
        view = self.explainer.explain(request, verdicts)
        self.assertTrue(view.scheduled)
        self.assertAlmostEqual(sum(view.chances.values()), 1)
        sampled = self.entry.sample(request)
        for endpoint, chance in view.chances.items():
            server = view.outlooks[endpoint].server
            ratio = sampled[server.server_id] / sampled.total()
            self.assertAlmostEqual(chance, ratio, delta=0.1)
        excluded = {
            verdict.server.endpoint: verdict.exclusion
            for verdict in verdicts
            if verdict.exclusion
        }
        self.assertEqual(excluded, {self.busy.endpoint: 'too_late'})

    def test_wait(self) -> None:
        """Guard against an explanation that ignores the start queue."""
        self.queue.find_wait_reason.return_value = 'no room yet: memory'
        view = self.explainer.explain(build_letter(), [])
        self.assertEqual(view.wait_reason, 'no room yet: memory')

    def test_not_scheduled(self) -> None:
        """Guard against predictions that the selection does not use."""
        self.explainer = SchedulingExplainer(
            Mock(return_value=''), Mock(), self.queue, Mock(), Mock()
        )
        self.assertFalse(self.explainer.explain(build_tag(), []).scheduled)
