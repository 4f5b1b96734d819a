"""Tests of streams that outlive their backend server.

Patterns: engines taken away at short notice, crashes in mid-stream.
"""

import threading
import unittest

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    build_parts,
    build_poison_request_guard,
    build_request,
    build_route,
    build_server,
)
from tests.forwarding_fakes import (
    FakeCaller,
    FakeClient,
    FakeExchange,
    events,
    no_answer,
    not_sent,
    stream,
    turned_away,
    whole,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.move_messages import RunMoved
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.routes import Route, RouteKind
from wasabistream.forwarding.stream_forwarders import StreamForwarder
from wasabistream.forwarding.stream_progress import StreamProgress
from wasabistream.forwarding.supervisors import CutReason, RequestWatch

DRAFT = build_route(RouteKind.streaming, max_attempt_count=1)
CHAT = build_route(RouteKind.streaming, resumable=True)
REQUEST_ID = 'request-1'
HOLDER = '10.0.0.2:8000'


def build_move(endpoint: str = HOLDER) -> RunMoved:
    """Return the notice of a generation that goes on elsewhere."""
    return RunMoved(REQUEST_ID, endpoint, '10.0.0.1:8000', 'handle-1')


class StreamForwarderTest(unittest.TestCase):
    """Guard against lost, repeated or joined streams."""

    def setUp(self) -> None:
        """Start with an empty book of moves."""
        self.moves = MoveTracker()
        self.caller = FakeCaller()
        self.progress = StreamProgress()

    def forward(
        self, route: Route, *script: FakeExchange | BackendError
    ) -> Reply | None:
        """Forward one stream from engines that act by a script."""
        self.client = FakeClient(*script)
        parts = build_parts(
            self.client,
            *(
                build_server(number, service=ENGINE_SERVICE)
                for number in (1, 2, 3)
            ),
        )
        forwarder = StreamForwarder(
            parts.holder,
            parts.chooser,
            parts.sender,
            parts.rates,
            self.moves,
            build_poison_request_guard(),
        )
        self.watch = RequestWatch(build_request(route), self.caller)
        return forwarder.forward(self.watch, AttemptHistory(), self.progress)

    def test_whole_stream(self) -> None:
        """Guard against events that are changed on the way."""
        self.forward(DRAFT, stream(events(1, 3)))
        self.assertEqual(self.caller.body, events(1, 3))
        self.assertTrue(self.progress.complete)

    def test_moved_draft_goes_on(self) -> None:
        """Guard against losing or repeating events when an engine leaves."""
        self.moves.record_move(build_move())
        torn_event = events(4, 4)[:-3]
        self.forward(
            DRAFT,
            stream(events(1, 3), torn_event, cut=True),
            stream(events(4, 6)),
        )
        self.assertEqual(self.caller.body, events(1, 6))
        continuation = self.client.sent[1].options.continuation
        self.assertIsNotNone(continuation)
        if continuation is not None:
            self.assertEqual(continuation.handle, 'handle-1')
            self.assertEqual(continuation.last_event_id, '3')
        self.assertEqual(self.client.endpoints[1], HOLDER)

    def test_move_to_an_engine_that_is_not_listed(self) -> None:
        """Guard against a cut while the list lags behind the agents.

        Recorded day inc-c31c: a draft was moved to an engine that had started
        while the store was away, 0.1 s after the store's return.
        """
        self.moves.record_move(build_move('10.0.0.9:8000'))
        self.forward(
            DRAFT, stream(events(1, 3), cut=True), stream(events(4, 6))
        )
        self.assertEqual(self.caller.body, events(1, 6))
        self.assertEqual(self.client.endpoints[1], '10.0.0.9:8000')

    def test_draft_that_moves_twice(self) -> None:
        """Guard against a limit of attempts that counts moves."""
        self.moves.record_move(build_move())
        timer = threading.Timer(0.03, self.moves.record_move, [build_move()])
        timer.start()
        self.forward(
            DRAFT,
            stream(events(1, 2), cut=True),
            stream(events(3, 4), cut=True),
            stream(events(5, 6)),
        )
        self.assertEqual(self.caller.body, events(1, 6))

    def test_move_that_is_announced_late(self) -> None:
        """Guard against giving up while the last copy is on its way."""
        self.moves.record_move_start(REQUEST_ID)
        threading.Timer(0.3, self.moves.record_move, [build_move()]).start()
        self.forward(
            DRAFT, stream(events(1, 2), cut=True), stream(events(3, 3))
        )
        self.assertEqual(self.caller.body, events(1, 3))

    def test_draft_without_a_move_is_not_started_again(self) -> None:
        """Guard against a second run of a draft."""
        self.forward(DRAFT, stream(events(1, 2), cut=True))
        self.assertEqual(len(self.client.sent), 1)
        self.assertTrue(self.caller.aborted)

    def test_cut_before_the_first_event(self) -> None:
        """Guard against "not run" for a draft that may have run."""
        reply = self.forward(DRAFT, no_answer())
        self.assertIsNotNone(reply)
        self.assertEqual(reply.status if reply else 0, 502)

    def test_resumable_stream_is_resumed(self) -> None:
        """Guard against losing a chat reply with its engine."""
        self.forward(CHAT, stream(events(1, 2), cut=True), stream(events(3, 4)))
        self.assertEqual(self.caller.body, events(1, 4))
        continuation = self.client.sent[1].options.continuation
        self.assertEqual(
            continuation.last_event_id if continuation else '', '2'
        )

    def test_events_that_come_again_are_dropped(self) -> None:
        """Guard against an event that reaches the caller twice."""
        self.forward(CHAT, stream(events(1, 3), cut=True), stream(events(2, 5)))
        self.assertEqual(self.caller.body, events(1, 5))

    def test_draft_that_was_turned_away(self) -> None:
        """Guard against refusing a draft while another engine has room."""
        self.forward(DRAFT, not_sent(), turned_away(), stream(events(1, 1)))
        self.assertEqual(self.caller.body, events(1, 1))

    def test_draft_that_nobody_took(self) -> None:
        """Guard against an unclear answer where nothing has run."""
        reply = self.forward(DRAFT, *(turned_away() for _ in range(3)))
        self.assertEqual(reply.status if reply else 0, 503)

    def test_moved_draft_that_is_turned_away(self) -> None:
        """Guard against a second run of a draft without events yet."""
        self.moves.record_move(build_move())
        reply = self.forward(DRAFT, no_answer(), turned_away())
        self.assertEqual(reply.status if reply else 0, 502)
        self.assertEqual(len(self.client.sent), 2)

    def test_failure_after_a_move(self) -> None:
        """Guard against a second answer inside a stream."""
        self.moves.record_move(build_move())
        reply = self.forward(
            DRAFT, stream(events(1, 2), cut=True), whole(500, b'no')
        )
        self.assertIsNone(reply)
        self.assertTrue(self.caller.aborted)

    def test_chat_that_ran_and_was_turned_away(self) -> None:
        """Guard against "not run" for a reply whose first attempt ran."""
        reply = self.forward(
            CHAT, whole(500, b'no'), turned_away(), turned_away(), turned_away()
        )
        self.assertEqual(reply.status if reply else 0, 500)

    def test_failure_of_an_engine_is_handed_on(self) -> None:
        """Guard against hiding what the engine answered."""
        reply = self.forward(DRAFT, whole(500, b'no'))
        self.assertEqual(reply.status if reply else 0, 500)

    def test_cut_by_the_supervisor_is_not_complete(self) -> None:
        """Guard against an end that looks complete after a cut."""
        exchange = stream(events(1, 1))
        exchange.close = lambda: None  # type: ignore[method-assign]
        read = exchange.read

        def cut_after_first() -> bytes:
            piece = read()
            if not piece:
                self.watch.cut(CutReason.unresponsive)
            return piece

        exchange.read = cut_after_first  # type: ignore[method-assign]
        self.forward(DRAFT, exchange)
        self.assertFalse(self.progress.complete)
        self.assertTrue(self.caller.aborted)
