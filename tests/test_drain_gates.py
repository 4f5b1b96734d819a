"""Tests of requests that arrive while an entry drains.

Failure pattern: entries are stopped one after another while callers keep their
connections.
"""

import dataclasses
import unittest

from tests.forwarding_builders import Clock, build_request, build_route
from wasabistream.forwarding.drain_gates import (
    NO_PEER_ADMISSION_SECONDS,
    DrainGate,
)
from wasabistream.forwarding.requests import ForwardRequest, GenerationDemand
from wasabistream.forwarding.routes import RouteKind

GRACE_SECONDS = 7.5


def generation(max_output_tokens: int) -> ForwardRequest:
    """Return a generation with a long deadline."""
    request = build_request(build_route(RouteKind.streaming))
    return dataclasses.replace(
        request, demand=GenerationDemand(3000, max_output_tokens, 0)
    )


class DrainGateTest(unittest.TestCase):
    """Guard against admitting requests that the shutdown cuts."""

    def setUp(self) -> None:
        """Create an open gate."""
        self.clock = Clock()
        self.is_majority_serving = True
        self.gate = DrainGate(lambda: self.is_majority_serving, self.clock)

    def test_open_gate_admits_all(self) -> None:
        """Guard against refusing requests when the entry is not draining."""
        self.assertTrue(self.gate.admits(generation(5000)))

    def test_long_generation_is_refused(self) -> None:
        """Guard against a generation that is cut at the end of the drain."""
        self.gate.close(4)
        self.assertFalse(self.gate.admits(generation(900)))

    def test_generation_is_admitted_when_all_entries_drain(self) -> None:
        """Guard against refusing generations that no entry would admit."""
        self.is_majority_serving = False
        self.gate.close(GRACE_SECONDS)
        self.assertTrue(self.gate.admits(generation(900)))
        self.clock.advance(NO_PEER_ADMISSION_SECONDS)
        self.assertFalse(self.gate.admits(generation(900)))

    def test_ended_drain(self) -> None:
        """Guard against passing on a request that waited for a thread."""
        self.gate.close(GRACE_SECONDS)
        self.gate.end()
        self.assertFalse(self.gate.admits(generation(40)))

    def test_short_generation_is_admitted(self) -> None:
        """Guard against refusing requests that end in time."""
        self.gate.close(GRACE_SECONDS)
        self.assertTrue(self.gate.admits(generation(40)))

    def test_generation_with_a_late_deadline_is_refused(self) -> None:
        """Guard against a short generation that waits in an engine's queue.

        Its estimated time was below the time left, and it was cut.
        """
        self.gate.close(GRACE_SECONDS)
        self.clock.advance(NO_PEER_ADMISSION_SECONDS + 0.3)
        self.assertFalse(self.gate.admits(generation(12)))

    def test_nothing_is_admitted_near_the_end(self) -> None:
        """Guard against admitting a request that cannot be answered in time."""
        self.gate.close(GRACE_SECONDS)
        self.clock.advance(GRACE_SECONDS - 1)
        self.assertFalse(self.gate.admits(generation(40)))
        self.assertFalse(self.gate.admits(build_request()))
