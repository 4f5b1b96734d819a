"""Tests of the rate limit for cold backend servers.

Failure pattern: a data centre returns with cold servers while several entries
send requests.
"""

import dataclasses
import unittest
from functools import partial

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_fleet,
    build_server,
)
from wasabistream.forwarding.cold_limiters import ColdLimit, ColdLimiter

LIMIT = ColdLimit(ratio=1.5, extra_count=5)
REQUESTS_PER_SECOND = 4.0
ENTRY_COUNT = 4


class ColdLimiterTest(unittest.TestCase):
    """Guard against overloading a cold server with full traffic."""

    def setUp(self) -> None:
        """Create a server that stays cold for three seconds."""
        self.clock = Clock()
        self.server = dataclasses.replace(
            build_server(1, service=ENGINE_SERVICE), cold_remaining_seconds=3
        )

    def limiter(self) -> ColdLimiter:
        """Return the limiter of one entry."""
        limiter = ColdLimiter(LIMIT, lambda: ENTRY_COUNT, self.clock)
        limiter.on_fleet_changed(build_fleet(self.server))
        return limiter

    def send(self, limiter: ColdLimiter) -> bool:
        """Send one request if it is allowed."""
        allowed = limiter.admits(self.server, REQUESTS_PER_SECOND)
        if allowed:
            limiter.add_sent_request(self.server)
        return allowed

    def test_entries_together_stay_below_the_bound(self) -> None:
        """Guard against each entry using the whole limit."""
        limiters = [self.limiter() for _ in range(ENTRY_COUNT)]
        sent_count = sum(
            self.send(limiter) for limiter in limiters for _ in range(50)
        )
        bound = REQUESTS_PER_SECOND * LIMIT.ratio + LIMIT.extra_count
        self.assertLessEqual(sent_count, bound)
        self.assertGreaterEqual(sent_count, ENTRY_COUNT)

    def test_warm_server_is_not_limited(self) -> None:
        """Guard against limiting a server that has warmed up."""
        limiter = self.limiter()
        while self.send(limiter):
            self.clock.advance(0)
        self.clock.advance(4)
        self.assertTrue(all(self.send(limiter) for _ in range(50)))

    def test_fleet_update_does_not_restart_cold_time(self) -> None:
        """Guard against restarting the cold period on every fleet update."""
        limiter = self.limiter()
        self.clock.advance(2)
        limiter.on_fleet_changed(build_fleet(self.server))
        self.clock.advance(1.5)
        self.assertTrue(all(self.send(limiter) for _ in range(50)))

    def test_many_entries_stay_below_a_low_bound(self) -> None:
        """Guard against every entry sending a request in the same second.

        Forty entries share a server that sustains four requests per second.
        """
        limit = ColdLimit(1.5, 2)
        count = 40
        limiters = []
        for number in range(count):
            limiter = ColdLimiter(
                limit,
                partial(int, count),
                self.clock,
                partial(float, number / count),
            )
            limiter.on_fleet_changed(build_fleet(self.server))
            limiters.append(limiter)
        sent_at_seconds = []
        for _ in range(25):
            self.clock.advance(0.1)
            for limiter in limiters:
                if limiter.admits(self.server, 4):
                    limiter.add_sent_request(self.server)
                    sent_at_seconds.append(self.clock())
        self.assertTrue(sent_at_seconds)
        for first in sent_at_seconds:
            in_window = [
                sent_at
                for sent_at in sent_at_seconds
                if 0 <= sent_at - first < 1
            ]
            self.assertLessEqual(len(in_window), 4 * limit.ratio + 2)
