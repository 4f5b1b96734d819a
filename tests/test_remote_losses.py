"""Tests of the cost of other data centres.

Load patterns: long and short answers that compete for the room elsewhere, and
more requests than the share of the plan.
"""

import dataclasses
import io
import os
import unittest
from contextlib import redirect_stderr
from unittest.mock import Mock, patch

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_request,
    build_route,
    build_server,
)
from wasabistream.applications import EXIT_BAD_SETTINGS
from wasabistream.forwarding.requests import ForwardRequest, GenerationDemand
from wasabistream.forwarding.routes import RouteKind
from wasabistream.platform.daemons import run_daemon
from wasabistream.spillover.demand_meters import DemandMeter
from wasabistream.spillover.remote_losses import RemoteCosts, SpilloverLosses
from wasabistream.spillover.remote_settings import (
    DELAY_VARIABLE,
    GIGABYTE_COST_VARIABLE,
    read_remote_costs,
)
from wasabistream.spillover.spillover_plans import SpilloverPlan

OWN = 'dc-a'
OTHER = 'dc-b'
PLAN = SpilloverPlan(ENGINE_SERVICE, 0, 0.7, {}, {OTHER: 0.5}, {})


def build_generation(name: str, output_tokens: int) -> ForwardRequest:
    """Return a generation of a route with this name."""
    route = dataclasses.replace(build_route(RouteKind.streaming), name=name)
    demand = GenerationDemand(2000, output_tokens, 0)
    return dataclasses.replace(build_request(route), demand=demand)


class SpilloverLossesTest(unittest.TestCase):
    """Guard against traffic that costs more than it gains."""

    def setUp(self) -> None:
        """Price requests of an entry with a share of one half."""
        self.clock = Clock()
        self.plan: SpilloverPlan | None = PLAN
        self.losses = SpilloverLosses(
            OWN, RemoteCosts(25, 0.001), lambda service: self.plan, self.clock
        )
        self.long = build_generation('letter', 800)
        self.short = build_generation('tag', 8)

    def dispatch(self, data_centre: str) -> None:
        """Send a short request to a data centre."""
        server = build_server(
            1, service=ENGINE_SERVICE, data_centre=data_centre
        )
        self.losses.record_dispatch(self.short, server)

    def test_few_bytes_leave_first(self) -> None:
        """Guard against long answers that cross while short ones could.

        Pattern: letters and tags want to leave, and letters prove to be large.
        """
        self.assertEqual(self.losses.remote_loss(self.long, OWN), 0)
        gap = self._gap()
        self.assertAlmostEqual(gap, 792 * 120 * 25 / 10**9)
        # The delay counts both ways, against a target of 1 s.
        byte_count = len(self.short.body) + 8 * 120
        self.assertAlmostEqual(
            self.losses.remote_loss(self.short, OTHER),
            0.002 + byte_count * 25 / 10**9,
        )
        for _ in range(10):
            self.losses.record_answer(self.long, 800 * 400)
            self.losses.record_answer(self.short, 8 * 50)
        self.assertGreater(self._gap(), 3 * gap)

    def test_stated_tokens(self) -> None:
        """Guard against stated numbers that draw all traffic away, or fail."""
        own_loss = self.losses.remote_loss(self.long, OWN)
        for tokens in (-5, 10**400):
            request = build_generation(self.long.route.name, tokens)
            self.losses.record_answer(request, 100)
            self.assertGreater(
                self.losses.remote_loss(self.long, OTHER), own_loss
            )

    def test_arrival_with_stated_tokens(self) -> None:
        """Guard against stated numbers that fail a request of any service."""
        meter = DemandMeter(self.clock)
        for tokens in (-(10**400), 10**400):
            demand = GenerationDemand(tokens, 0, 0)
            meter.record_arrival(ENGINE_SERVICE, demand)
            rate = meter.read(ENGINE_SERVICE).prompt_tokens_per_second
            self.assertGreaterEqual(rate, 0)

    def test_used_share(self) -> None:
        """Guard against more requests than the receiver has room for.

        Pattern: a burst that goes to one other data centre.
        """
        free = self.losses.remote_loss(self.short, OTHER)
        self.dispatch(OTHER)
        self.dispatch(OWN)
        used = self.losses.remote_loss(self.short, OTHER)
        self.assertAlmostEqual(used - free, 0.2)
        self.dispatch(OWN)
        self.assertEqual(self.losses.remote_loss(self.short, OTHER), free)
        self.dispatch(OTHER)
        self.clock.advance(2.1)
        self.assertEqual(self.losses.remote_loss(self.short, OTHER), free)
        # No share is known of another data centre, or before the first plan.
        self.assertGreater(self.losses.remote_loss(self.short, 'dc-z'), 0.2)
        self.plan = None
        self.assertGreater(self.losses.remote_loss(self.short, OTHER), 0.2)

    def test_token_counts_of_callers(self) -> None:
        """Guard against requests of a route that fail after a strange one.

        Pattern: callers state negative or endless numbers of output tokens.
        """
        for output_tokens in (19, -20, 10**400):
            request = build_generation('tag', output_tokens)
            self.losses.record_answer(request, 100)
            self.assertGreater(self.losses.remote_loss(request, OTHER), 0)
            self.assertGreater(self.losses.remote_loss(self.short, OTHER), 0)

    def _gap(self) -> float:
        return self.losses.remote_loss(
            self.long, OTHER
        ) - self.losses.remote_loss(self.short, OTHER)


class RemoteSettingsTest(unittest.TestCase):
    """Guard against a cost that is silently wrong."""

    def test_bad_settings_end_the_process(self) -> None:
        """Guard against an entry that runs with a cost that nobody meant."""
        self.assertEqual(
            read_remote_costs({DELAY_VARIABLE: '0.5'}), RemoteCosts(25, 0.0005)
        )
        module = 'wasabistream.platform.daemons'
        errors = io.StringIO()
        for text in ('', 'many', '-1', 'nan', 'inf'):
            with (
                patch(f'{module}.read_node_file', Mock()),
                patch(f'{module}.configure_logs', Mock()),
                patch.dict(os.environ, {GIGABYTE_COST_VARIABLE: text}),
                redirect_stderr(errors),
            ):
                code = run_daemon(_build_application, 'INFO', 1)
            self.assertEqual(code, EXIT_BAD_SETTINGS)
        self.assertEqual(errors.getvalue().count(GIGABYTE_COST_VARIABLE), 5)


def _build_application(*arguments: object) -> Mock:
    return Mock(costs=read_remote_costs(os.environ))
