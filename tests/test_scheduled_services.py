"""Tests of which services are scheduled, and of the urgency at engines.

Load patterns: engines of uneven speed, with speeds near the threshold, and
engines that are replaced together.
"""

import dataclasses
import unittest

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    build_configuration,
)
from tests.scheduling_builders import (
    DIGEST_ROUTE,
    LETTER_ROUTE,
    TAG_ROUTE,
    SchedulingEntry,
    build_engines,
    build_tag,
    scale_pace,
)
from wasabistream.forwarding.interfaces import AttemptOptions
from wasabistream.platform import header_names as names
from wasabistream.platform.server_clients import encode_headers
from wasabistream.scheduling.urgencies import find_urgency


class ScheduledServicesTest(unittest.TestCase):
    """Guard against services that change their selection all the time."""

    def setUp(self) -> None:
        """Create an entry with eight engines and no deferrable route."""
        self.entry = SchedulingEntry(build_engines(8), routes=(LETTER_ROUTE,))

    def is_scheduled(self, *factors: float, after_seconds: float = 0.5) -> bool:
        """Set the time per step of the first engines; others are unknown."""
        self.entry.paces.paces = {
            engine.endpoint: scale_pace(factor)
            for engine, factor in zip(self.entry.engines, factors, strict=False)
        }
        self.entry.clock.advance(after_seconds)
        return self.entry.scheduled.is_scheduled(ENGINE_SERVICE)

    def test_uneven_engines(self) -> None:
        """Guard against one noisy engine that makes a service scheduled."""
        self.assertFalse(self.is_scheduled(1, 1, 1, 1, 1, 1, 1, 1.9))
        self.assertTrue(self.is_scheduled(1, 1, 1, 1, 1, 1, 1.6, 1.6))

    def test_hysteresis(self) -> None:
        """Guard against a service whose engines are near the threshold."""
        self.assertFalse(self.is_scheduled(1, 1, 1, 1.4))
        self.assertTrue(self.is_scheduled(1, 1, 1, 1.55))
        self.assertTrue(self.is_scheduled(1, 1, 1, 1.35))
        self.assertFalse(self.is_scheduled(1, 1, 1, 1.25))
        self.assertFalse(self.is_scheduled(1, 1, 1, 1.4))

    def test_unknown_paces(self) -> None:
        """Guard against a change while engines are replaced together."""
        self.assertFalse(self.is_scheduled(1, 1, 3))
        self.assertTrue(self.is_scheduled(1, 1, 1, 3))
        self.assertTrue(self.is_scheduled(1, 1, after_seconds=9))
        self.assertFalse(self.is_scheduled(1, 1, after_seconds=1.5))

    def test_evaluations_per_second(self) -> None:
        """Guard against a processor that is busy with evaluations."""
        self.assertFalse(self.is_scheduled(1, 1, 1, 1))
        self.assertFalse(self.is_scheduled(1, 1, 1, 3, after_seconds=0.4))
        with self.assertLogs('wasabistream.scheduling') as logs:
            self.assertTrue(self.is_scheduled(1, 1, 1, 3, after_seconds=0.1))
            self.assertEqual(logs.records[0].__dict__['speed_ratio'], 3)

    def test_deferrable_route(self) -> None:
        """Guard against ignoring deferrable routes where engines are alike."""
        entry = SchedulingEntry([])
        self.assertTrue(entry.scheduled.is_scheduled(ENGINE_SERVICE))
        self.assertFalse(entry.scheduled.is_scheduled(PLAIN_SERVICE))

    def test_median_pace(self) -> None:
        """Guard against unknown values that lower the median."""
        self.is_scheduled(1, 1, 2)
        median = self.entry.scheduled.median_pace(ENGINE_SERVICE)
        self.assertEqual(median, scale_pace(1))


class UrgencyTest(unittest.TestCase):
    """Guard against engines that admit deferrable requests first."""

    def test_rule(self) -> None:
        """Guard against a route that overrides the organisation's priority."""
        deferring = build_configuration(TAG_ROUTE, DIGEST_ROUTE)
        urgencies = [
            find_urgency(deferring, ENGINE_SERVICE, name, priority)
            for priority in (0, 1, 4, 7)
            for name in ('tags', 'digests')
        ]
        self.assertEqual(urgencies, [0, 1, 2, 3, 8, 9, 9, 9])
        even = build_configuration(TAG_ROUTE, LETTER_ROUTE)
        self.assertEqual(find_urgency(even, ENGINE_SERVICE, 'letters', 4), 4)

    def test_header(self) -> None:
        """Guard against requests without urgency that become most urgent."""
        server = build_engines(1)[0]
        sent = [
            encode_headers(server, request, AttemptOptions(1))[names.URGENCY]
            for request in (
                build_tag(),
                dataclasses.replace(build_tag(), urgency=0),
                dataclasses.replace(build_tag(), urgency=5),
            )
        ]
        self.assertEqual(sent, ['1', '0', '5'])
