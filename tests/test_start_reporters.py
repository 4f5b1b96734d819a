"""Tests of the reports of an engine's start, without a network.

Failure pattern: an engine restarts, and its agent hears the version of the start
while it reports the start itself.
"""

import threading
import unittest

from tests.forwarding_builders import ENGINE_SERVICE
from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.engine_starts.start_reporters import StartReporter

WAIT_SECONDS = 0.3


class StartReporterTest(unittest.TestCase):
    """Guard against entries that keep an older report."""

    def setUp(self) -> None:
        """Report a start whose version becomes known meanwhile."""
        self.software_version = ''
        self.sent: list[str] = []
        self.is_built = threading.Event()
        self.is_version_sent = threading.Event()
        self.reporter = StartReporter(self.build_report)

    def build_report(self) -> EngineStartReport:
        """Return the report; the first one is sent late."""
        report = EngineStartReport(
            'engine:1', ENGINE_SERVICE, 1000, self.software_version
        )
        if not self.is_built.is_set():
            self.is_built.set()
            self.is_version_sent.wait(WAIT_SECONDS)
        return report

    def send(self, report: EngineStartReport) -> None:
        """Keep the version that was sent."""
        self.sent.append(report.software_version)
        if report.software_version:
            self.is_version_sent.set()

    def test_version_is_told_during_a_report(self) -> None:
        """Guard against a report without the version after the one with it."""
        polls = threading.Thread(target=self.reporter.report, args=(self.send,))
        polls.start()
        self.is_built.wait()
        self.software_version = 'v2'
        self.reporter.report(self.send)
        polls.join()
        self.assertEqual(self.sent, ['', 'v2'])
