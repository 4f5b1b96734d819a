"""Tests of requests that arrive during a shutdown.

Pattern: entries that are stopped in turn while callers keep their
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
    """Guard against requests that are taken and cut by the shutdown."""

    def setUp(self) -> None:
        """Start with a gate that is open."""
        self.clock = Clock()
        self.is_majority_serving = True
        self.gate = DrainGate(lambda: self.is_majority_serving, self.clock)

    def test_open_gate_admits_all(self) -> None:
        """Guard against refusals without a shutdown."""
        self.assertTrue(self.gate.admits(generation(5000)))

    def test_long_draft_goes_elsewhere(self) -> None:
        """Guard against a draft that is cut at the end of the grace time."""
        self.gate.close(4)
        self.assertFalse(self.gate.admits(generation(900)))

    def test_draft_is_taken_when_all_shut_down(self) -> None:
        """Guard against refusing drafts that no entry would take."""
        self.is_majority_serving = False
        self.gate.close(GRACE_SECONDS)
        self.assertTrue(self.gate.admits(generation(900)))
        self.clock.advance(NO_PEER_ADMISSION_SECONDS)
        self.assertFalse(self.gate.admits(generation(900)))

    def test_short_reply_is_served(self) -> None:
        """Guard against refusing what ends in time."""
        self.gate.close(GRACE_SECONDS)
        self.assertTrue(self.gate.admits(generation(40)))

    def test_nothing_is_taken_near_the_end(self) -> None:
        """Guard against a request that is read and never answered."""
        self.gate.close(GRACE_SECONDS)
        self.clock.advance(GRACE_SECONDS - 1)
        self.assertFalse(self.gate.admits(generation(40)))
        self.assertFalse(self.gate.admits(build_request()))
