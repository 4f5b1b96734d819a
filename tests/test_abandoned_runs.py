"""Tests of streams that leave an engine behind a silent connection.

Failure pattern: connections to an engine go silent while it has preempted their
runs. The streams go on elsewhere, and the first engine works on beside.
"""

import time
import unittest
from unittest.mock import Mock

from tests.ending_builders import (
    RUN,
    RUN_ID,
    build_engine_server,
    build_state,
)
from tests.forwarding_builders import build_request, build_route
from tests.forwarding_fakes import FakeCaller, events, stream
from tests.test_stream_forwarders import (
    RESUMABLE_ROUTE,
    STREAM_ROUTE,
    StreamForwarderCase,
    build_move,
)
from wasabistream.exceptions import BackendError, BackendTimeoutError
from wasabistream.forwarding.engine_states import EngineState
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.supervisors import CutReason, RequestWatch
from wasabistream.platform.engine_clients import REPORT_TIMEOUT_SECONDS
from wasabistream.retries import Deadline
from wasabistream.run_endings.abandoned_runs import AbandonedRunWaiter

LISTED = build_state(RUN)
ENDED = build_state()


class AbandonedRunTest(unittest.TestCase):
    """Guard against two engines that work on one stream."""

    def setUp(self) -> None:
        """Give up the run of an engine."""
        self.server = build_engine_server()
        self.moves = MoveTracker()
        self.engines = Mock()
        self.report_silence = Mock()
        self.waiter = AbandonedRunWaiter(
            self.engines, self.moves, self.report_silence
        )
        route = build_route(RouteKind.streaming, resumable=True)
        self.request = build_request(route, RUN_ID)
        self.watch = RequestWatch(self.request, FakeCaller())
        self.watch.attach(self.server.endpoint, Mock())
        self.watch.cut(CutReason.stalled)

    def test_preempted_run(self) -> None:
        """Guard against sending a stream on while its run is listed.

        The agent is told again, as the run may have lost events meanwhile.
        """
        self.engines.read.side_effect = (LISTED, LISTED, ENDED)
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.assertEqual(self.engines.read.call_count, 3)
        self.report_silence.assert_called_with(
            self.server.endpoint, RUN_ID, 0, is_given_up=True
        )

    def test_run_is_moved(self) -> None:
        """Guard against waiting for a run that its agent has stopped."""
        moved = build_move()
        self.engines.read.return_value = LISTED
        self.report_silence.side_effect = lambda *report, **options: (
            self.moves.record_move(moved)
        )
        self.assertIs(self.waiter.wait(self.server, self.watch), moved)
        self.engines.read.assert_called_once()

    def test_engine_cannot_be_reached(self) -> None:
        """Guard against holding a stream back for an engine that is gone."""
        self.engines.read.side_effect = BackendError('gone', 'state')
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.report_silence.assert_not_called()

    def test_report_of_the_engine_is_late(self) -> None:
        """Guard against two engines that work on a stream as one is busy."""
        late = BackendTimeoutError('timed out', 'state')
        self.engines.read.side_effect = (late, LISTED, ENDED)
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.report_silence.assert_called_once()

    def test_engine_stays_silent(self) -> None:
        """Guard against holding a stream back for an engine out of reach."""

        def read(server: object) -> None:
            time.sleep(REPORT_TIMEOUT_SECONDS)
            raise BackendTimeoutError('timed out', 'state')

        self.engines.read.side_effect = read
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.assertLessEqual(self.engines.read.call_count, 2)
        self.report_silence.assert_not_called()

    def test_caller_leaves(self) -> None:
        """Guard against a wait for a stream that nobody reads."""

        def read(server: object) -> EngineState:
            self.watch.cut(CutReason.caller_left)
            return LISTED

        self.engines.read.side_effect = read
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.engines.read.assert_called_once()

    def test_deadline_passes(self) -> None:
        """Guard against a wait beyond the deadline of the request."""
        object.__setattr__(self.request, 'deadline', Deadline(0.5))
        self.engines.read.return_value = LISTED
        self.assertIsNone(self.waiter.wait(self.server, self.watch))
        self.assertTrue(self.request.deadline.expired)


class HandoverTest(StreamForwarderCase):
    """Guard against streams that go on without that check."""

    def test_stalled_stream(self) -> None:
        """Guard against a stalled stream that goes on at once."""
        self.assertEqual(self.count_waits(CutReason.stalled), 1)

    def test_cut_for_another_reason(self) -> None:
        """Guard against delays where the engine has seen the close."""
        self.assertEqual(self.count_waits(CutReason.slow), 0)

    def test_connection_times_out(self) -> None:
        """Guard against a silent connection that the kernel gives up."""
        self.assertEqual(self.count_waits(None), 1)

    def count_waits(self, reason: CutReason | None) -> int:
        """Return how often a cut stream has waited for its first engine."""
        exchange = stream(events(1, 1))
        read = exchange.read

        def read_until_the_cut() -> bytes:
            piece = read()
            if piece:
                return piece
            if reason is not None:
                self.watch.cut(reason)
                raise BackendError('cut', 'body')
            raise BackendTimeoutError('timed out', 'body')

        exchange.read = read_until_the_cut  # type: ignore[method-assign]
        self.handovers = Mock()
        self.handovers.wait.return_value = None
        self.forward(RESUMABLE_ROUTE, exchange, stream(events(2, 3)))
        self.assertTrue(self.progress.complete)
        count: int = self.handovers.wait.call_count
        return count

    def test_stream_that_cannot_go_on(self) -> None:
        """Guard against holding back a stream that may not run again."""
        self.handovers = Mock()
        exchange = stream(events(1, 1))

        def fail() -> bytes:
            raise BackendTimeoutError('timed out', 'body')

        exchange.read = fail  # type: ignore[method-assign]
        self.forward(STREAM_ROUTE, exchange)
        self.handovers.wait.assert_not_called()


if __name__ == '__main__':
    unittest.main()
