"""Tests of which routes may start later than others."""

import dataclasses
import unittest

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    build_configuration,
    build_route,
)
from tests.scheduling_builders import build_stream_route
from wasabistream.forwarding.routes import RouteKind


class DeferrableRoutesTest(unittest.TestCase):
    """Guard against deferring requests that are as urgent as the others."""

    def test_longer_target_and_less_urgent(self) -> None:
        """Guard against digests that take the room of urgent tags."""
        configuration = build_configuration(
            build_stream_route('tags', 0, 1.5),
            build_stream_route('digests', 2, 4),
        )
        self.assertEqual(
            configuration.deferrable_routes, {(ENGINE_SERVICE, 'digests')}
        )

    def test_similar_targets(self) -> None:
        """Guard against a change for routes that have to start alike."""
        configuration = build_configuration(
            build_stream_route('tags', 0, 1.5),
            build_stream_route('letters', 1, 1.8),
        )
        self.assertEqual(configuration.deferrable_routes, frozenset())

    def test_more_urgent_route_never_waits(self) -> None:
        """Guard against deferring the urgent route with the longer target."""
        configuration = build_configuration(
            build_stream_route('tags', 1, 1.5),
            build_stream_route('alerts', 0, 4),
        )
        self.assertEqual(configuration.deferrable_routes, frozenset())

    def test_other_service(self) -> None:
        """Guard against comparing routes that share no engine."""
        tags = build_stream_route('tags', 0, 1.5)
        other = build_route(RouteKind.streaming, service='other')
        digests = dataclasses.replace(
            other, name='digests', priority=2, target_latency_seconds=4
        )
        configuration = build_configuration(tags, digests)
        self.assertEqual(configuration.deferrable_routes, frozenset())

    def test_plain_service(self) -> None:
        """Guard against queueing where no engine reports its load."""
        routes = [
            dataclasses.replace(
                build_stream_route(name, priority, target_seconds),
                destinations=build_route(
                    RouteKind.streaming, service=PLAIN_SERVICE
                ).destinations,
            )
            for name, priority, target_seconds in (
                ('tags', 0, 1.5),
                ('digests', 2, 4),
            )
        ]
        configuration = build_configuration(*routes)
        self.assertEqual(configuration.deferrable_routes, frozenset())
