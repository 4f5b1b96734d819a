"""Tests of exchanges that are cut early.

Failure patterns: callers that leave before their answer, and hanging servers.
"""

import dataclasses
import math
import threading
import time
import unittest
from typing import Any
from unittest.mock import Mock

from tests.forwarding_builders import build_request, build_route
from tests.forwarding_fakes import FakeCaller, FakeExchange, whole
from tests.waits import wait_for
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.supervisors import (
    POLL_INTERVAL_SECONDS,
    SILENCE_REPORT_INTERVAL_SECONDS,
    SILENT_STREAM_SECONDS,
    UNRESPONSIVE_SILENCE_SECONDS,
    CutReason,
    RequestSupervisor,
    RequestWatch,
    StallLimits,
)
from wasabistream.retries import Deadline

ENDPOINT = '10.0.0.1:8000'


class SupervisorTest(unittest.TestCase):
    """Guard against exchanges that are no longer useful."""

    def setUp(self) -> None:
        """Create a request with an open exchange."""
        self.responsive = threading.Event()
        self.responsive.set()
        self.has_moved = False
        self.must_end = False
        self.end_seconds = math.inf
        self.silence_reports: list[tuple[Any, ...]] = []
        self.caller = FakeCaller()
        self.exchange = whole()
        self.watch = RequestWatch(build_request(), self.caller)
        self.watch.attach(ENDPOINT, self.exchange)

    def supervise(self) -> None:
        """Start the supervisor with the request."""
        supervisor = RequestSupervisor(
            lambda endpoint: self.responsive.is_set(),
            lambda run_id: self.has_moved,
            lambda request, admitted_at_seconds: self.must_end,
            lambda *report, **options: self.silence_reports.append(
                (*report, *options.values())
            ),
        )
        supervisor.end_requests_at(self.end_seconds)
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

    def announce_stop(self, supervisor: RequestSupervisor) -> bool:
        """Announce a stop of the run; return whether it is streamed here."""
        return supervisor.record_announced_stop(
            self.watch.request.request_id, ENDPOINT, 'agent-1'
        )

    def test_announced_stop(self) -> None:
        """Guard against a reply of an entry that streams another run.

        The agent would stop a run whose entry does not know of the stop.
        """
        self.watch = RequestWatch(
            build_request(build_route(RouteKind.streaming)), self.caller
        )
        self.watch.attach(ENDPOINT, self.exchange)
        supervisor = RequestSupervisor(Mock(), Mock(), Mock(), Mock())
        self.assertFalse(self.announce_stop(supervisor))
        supervisor.add(self.watch)
        self.assertFalse(
            supervisor.record_announced_stop('other', ENDPOINT, 'agent-1')
        )
        self.watch.attach('10.0.0.2:8000', self.exchange)
        self.assertFalse(self.announce_stop(supervisor))
        self.assertEqual(self.watch.announced_stops, {})
        self.watch.attach(ENDPOINT, self.exchange)
        self.assertTrue(self.announce_stop(supervisor))
        self.assertEqual(
            self.watch.announced_stops, {ENDPOINT: frozenset(('agent-1',))}
        )
        supervisor.remove(self.watch)
        self.assertFalse(self.announce_stop(supervisor))

    def test_agent_sees_a_run(self) -> None:
        """Guard against doubts about runs that were not announced.

        An agent that sees one after another agent has announced its stop can
        tell how it ends.
        """
        self.watch = RequestWatch(
            build_request(build_route(RouteKind.streaming)), self.caller
        )
        self.watch.attach(ENDPOINT, self.exchange)
        run_id = self.watch.request.request_id
        supervisor = RequestSupervisor(Mock(), Mock(), Mock(), Mock())
        self.assertFalse(supervisor.record_sight(run_id, ENDPOINT, 'agent-2'))
        supervisor.add(self.watch)
        self.assertTrue(supervisor.record_sight(run_id, ENDPOINT, 'agent-2'))
        self.assertEqual(self.watch.announced_stops, {})
        self.assertTrue(self.announce_stop(supervisor))
        self.assertTrue(supervisor.record_sight(run_id, ENDPOINT, 'agent-2'))
        self.assertEqual(
            self.watch.announced_stops,
            {ENDPOINT: frozenset(('agent-1', 'agent-2'))},
        )

    def test_announced_stop_of_a_whole_answer(self) -> None:
        """Guard against stops of runs that nobody can go on with."""
        supervisor = RequestSupervisor(Mock(), Mock(), Mock(), Mock())
        supervisor.add(self.watch)
        self.assertFalse(self.announce_stop(supervisor))

    def test_deadline(self) -> None:
        """Guard against a request that continues past its deadline."""
        request = dataclasses.replace(build_request(), deadline=Deadline(0))
        self.watch = RequestWatch(request, self.caller)
        self.watch.attach(ENDPOINT, self.exchange)
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.timeout)

    def test_unresponsive_engine(self) -> None:
        """Guard against waiting for an engine if another one can serve."""
        self.watch.may_move_on = lambda: True
        self.supervise()
        self.responsive.clear()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.unresponsive)
        self.assertFalse(self.watch.is_ended)

    def test_engine_that_is_slow_to_report(self) -> None:
        """Guard against giving up a generation that cannot run elsewhere.

        An engine whose agent got no report for 0.8 s had its streams cut,
        although it went on with them.
        """
        self.supervise()
        self.responsive.clear()
        self.assertFalse(
            wait_for(
                lambda: self.exchange.closed, UNRESPONSIVE_SILENCE_SECONDS * 1.5
            )
        )

    def test_engine_that_streams_without_reports(self) -> None:
        """Guard against restarting a stream that still makes progress."""
        self.watch.may_move_on = lambda: True
        self.supervise()
        self.responsive.clear()
        ends_seconds = time.monotonic() + UNRESPONSIVE_SILENCE_SECONDS * 1.5
        while time.monotonic() < ends_seconds:
            self.watch.record_progress()
            time.sleep(POLL_INTERVAL_SECONDS / 2)
        self.assertFalse(self.exchange.closed)

    def test_moved_generation(self) -> None:
        """Guard against waiting for the lost end of a moved stream.

        A cut network loses the end of the source's answer, so that the
        connection looks open for seconds.
        """
        self.has_moved = True
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.moved)
        self.assertFalse(self.watch.is_ended)

    def test_silent_stream(self) -> None:
        """Guard against a stream whose connection has gone silent for good.

        Its engine goes on, and its caller left after seven seconds.
        """
        generation = build_request(build_route(RouteKind.streaming))
        self.watch = RequestWatch(generation, self.caller)
        self.watch.attach(ENDPOINT, self.exchange)
        self.watch.record_event()
        self.watch.stall_limits = StallLimits(60, 60)
        self.supervise()
        self.assertEqual(self.silence_reports, [])
        self.assertTrue(wait_for(lambda: len(self.silence_reports) == 2))
        self.assertGreater(
            self.watch.silent_seconds,
            SILENT_STREAM_SECONDS + SILENCE_REPORT_INTERVAL_SECONDS,
        )
        self.assertEqual(
            self.silence_reports[0], (ENDPOINT, generation.request_id, 1)
        )
        self.assertFalse(self.exchange.closed)

    def test_end_of_the_drain(self) -> None:
        """Guard against requests that are in progress when their entry ends."""
        self.end_seconds = time.monotonic() + POLL_INTERVAL_SECONDS * 3
        self.supervise()
        self.assertFalse(self.exchange.closed)
        self.assertTrue(self.is_cut())
        self.assertGreater(time.monotonic(), self.end_seconds)
        self.assertTrue(self.watch.is_ended)
        self.assertEqual(self.watch.reason, CutReason.stopping)

    def test_banned_part(self) -> None:
        """Guard against a request in progress that crashes its server.

        Its part is banned while it waits for its first event.
        """
        self.must_end = True
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.poison_part)
        self.assertTrue(self.watch.is_ended)

    def test_stalled_stream(self) -> None:
        """Guard against a stream without events that never ends."""
        self.watch.stall_limits = StallLimits(0.2, 0.4)
        self.supervise()
        self.assertTrue(self.is_cut())
        self.assertEqual(self.watch.reason, CutReason.stalled)
        # Its agent has the run stopped without a reply of this entry.
        self.assertTrue(self.watch.was_given_up)
        # Its agent is told, as the close may not reach the engine.
        request_id = self.watch.request.request_id
        self.assertEqual(
            self.silence_reports, [(ENDPOINT, request_id, 0, True)]
        )

    def test_caller_leaves_between_attempts(self) -> None:
        """Guard against a further attempt for a caller that has left.

        Pattern: a stream is cut as stalled and waits for its next server.
        """
        self.watch.cut(CutReason.stalled)
        self.watch.attach('', None)
        self.caller.disconnected = True
        self.supervise()
        wait_for(lambda: self.watch.is_ended)
        self.assertEqual(self.watch.reason, CutReason.caller_left)
        # The first reason to end a request stays.
        self.watch.cut(CutReason.timeout)
        self.assertEqual(self.watch.reason, CutReason.caller_left)

    def test_stalled_stream_that_cannot_move(self) -> None:
        """Guard against cutting a slow stream that cannot go on elsewhere."""
        self.watch.stall_limits = StallLimits(0.1, 60)
        self.supervise()
        self.assertFalse(wait_for(lambda: self.exchange.closed, 0.5))

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
