"""Tests of the limit of requests to cold backend servers.

Pattern: a data centre comes back cold while several entries send work.
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
    """Guard against a cold server that falls over under a full share."""

    def setUp(self) -> None:
        """Start with one server that stays cold for three seconds."""
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
        """Guard against each entry using the whole bound."""
        limiters = [self.limiter() for _ in range(ENTRY_COUNT)]
        sent_count = sum(
            self.send(limiter) for limiter in limiters for _ in range(50)
        )
        bound = REQUESTS_PER_SECOND * LIMIT.ratio + LIMIT.extra_count
        self.assertLessEqual(sent_count, bound)
        self.assertGreaterEqual(sent_count, ENTRY_COUNT)

    def test_warm_server_is_not_limited(self) -> None:
        """Guard against a limit that stays after the server is warm."""
        limiter = self.limiter()
        while self.send(limiter):
            self.clock.advance(0)
        self.clock.advance(4)
        self.assertTrue(all(self.send(limiter) for _ in range(50)))

    def test_old_entry_does_not_start_anew(self) -> None:
        """Guard against a cold time that each change of the list renews."""
        limiter = self.limiter()
        self.clock.advance(2)
        limiter.on_fleet_changed(build_fleet(self.server))
        self.clock.advance(1.5)
        self.assertTrue(all(self.send(limiter) for _ in range(50)))

    def test_many_entries_stay_below_a_low_bound(self) -> None:
        """Guard against a request of each entry in the same second.

        Pattern: forty entries and a server that bears four requests a second.
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
        sent_seconds = []
        for _ in range(25):
            self.clock.advance(0.1)
            for limiter in limiters:
                if limiter.admits(self.server, 4):
                    limiter.add_sent_request(self.server)
                    sent_seconds.append(self.clock())
        self.assertTrue(sent_seconds)
        for first in sent_seconds:
            in_window = [
                sent_at for sent_at in sent_seconds if 0 <= sent_at - first < 1
            ]
            self.assertLessEqual(len(in_window), 4 * limit.ratio + 2)
