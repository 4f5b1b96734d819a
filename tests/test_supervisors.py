"""Tests of exchanges that are cut early.

Failure patterns: callers that leave before their answer, and hanging servers.
"""

import dataclasses
import threading
import time
import unittest

from tests.forwarding_builders import build_request
from tests.forwarding_fakes import FakeCaller, FakeExchange, whole
from tests.waits import wait_for
from wasabistream.forwarding.supervisors import (
    CutReason,
    RequestSupervisor,
    RequestWatch,
)
from wasabistream.retries import Deadline

ENDPOINT = '10.0.0.1:8000'


class SupervisorTest(unittest.TestCase):
    """Guard against exchanges that are no longer useful."""

    def setUp(self) -> None:
        """Create a request with an open exchange."""
        self.responsive = threading.Event()
        self.responsive.set()
        self.caller = FakeCaller()
        self.exchange = whole()
        self.watch = RequestWatch(build_request(), self.caller)
        self.watch.attach(ENDPOINT, self.exchange)

    def supervise(self) -> None:
        """Start the supervisor with the request."""
        supervisor = RequestSupervisor(
            lambda endpoint: self.responsive.is_set()
        )
        supervisor.add(self.watch)
        supervisor.start()
        self.addCleanup(supervisor.stop)

    def is_cut(self, exchange: FakeExchange | None = None) -> bool:
        """Return whether the exchange is closed, after waiting for it."""
        ended = exchange or self.exchange
        return wait_for(lambda: ended.closed)

    def test_caller_left(self) -> None:
        """Guard against a server that works for a caller that has left."""
        self.supervise()
        self.caller.disconnected = True
        self.assertTrue(self.is_cut())
        self.assertTrue(self.watch.is_ended)

    def test_deadline(self) -> None:
        """Guard against a request that continues past its deadline."""
        request = dataclasses.replace(build_request(), deadline=Deadline(0))
        self.watch = RequestWatch(request, self.caller)
        self.watch.attach(ENDPOINT, self.exchange)
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.timeout)

    def test_unresponsive_engine(self) -> None:
        """Guard against waiting for an unresponsive engine."""
        self.supervise()
        self.responsive.clear()
        self.assertTrue(self.is_cut())
        self.assertFalse(self.watch.is_ended)

    def test_slow_attempt(self) -> None:
        """Guard against waiting for a slow server."""
        self.watch.attempt_deadline_seconds = time.monotonic()
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.slow)

    def test_reason_outlives_the_exchange(self) -> None:
        """Guard against mistaking a cut for a crash of the server."""
        self.watch.cut(CutReason.slow)
        self.watch.attach('', None)
        self.assertEqual(self.watch.reason, CutReason.slow)
        self.watch.attach(ENDPOINT, whole())
        self.assertIsNone(self.watch.reason)

    def test_exchange_after_the_caller_left(self) -> None:
        """Guard against an attempt that starts after the caller has left."""
        self.watch.cut(CutReason.caller_left)
        later = whole()
        self.watch.attach(ENDPOINT, later)
        self.assertTrue(later.closed)
