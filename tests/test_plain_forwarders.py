"""Tests of requests whose answers are not streamed.

Failure patterns: servers that fail, lose or corrupt answers, or refuse.
"""

import dataclasses
import unittest

from tests.forwarding_builders import (
    build_answer_buffers,
    build_parts,
    build_request,
    build_route,
    build_server,
)
from tests.forwarding_fakes import (
    FakeCaller,
    FakeClient,
    FakeExchange,
    no_answer,
    not_run_error,
    torn,
    turned_away,
    whole,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.routes import Route, RouteKind
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.forwarding.unary_forwarders import UnaryForwarder

PROMPT_PARTS = ('common', 'deadly')
LOOKUP = build_route(RouteKind.idempotent)
BOOKING = build_route(RouteKind.non_idempotent)


class UnaryForwarderTest(unittest.TestCase):
    """Guard against repeating bookings and against failing lookups."""

    def setUp(self) -> None:
        """Start without banned parts."""
        self.banned_parts: tuple[str, ...] = ()

    def forward(
        self, route: Route, *script: FakeExchange | BackendError
    ) -> Reply:
        """Forward one request to servers that follow a script."""
        self.client = FakeClient(*script)
        parts = build_parts(
            self.client, *(build_server(number) for number in (1, 2, 3))
        )
        forwarder = UnaryForwarder(
            parts.chooser,
            parts.sender,
            parts.failure_rates,
            parts.poison_guard,
            build_answer_buffers(),
            parts.refuser,
        )
        for part in self.banned_parts:
            parts.poison_parts.adopt_ban(part, 0, 0)
        request = build_request(route, prompt_parts=PROMPT_PARTS)
        watch = RequestWatch(request, FakeCaller())
        return forwarder.forward(watch, AttemptHistory())

    def test_lookup_is_repeated_elsewhere(self) -> None:
        """Guard against failing a lookup because of one server's error."""
        reply = self.forward(LOOKUP, whole(500), whole())
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(set(self.client.endpoints)), 2)

    def test_request_with_a_banned_part_is_not_repeated(self) -> None:
        """Guard against repeats that crash one server after the other."""
        self.banned_parts = PROMPT_PARTS[-1:]
        reply = self.forward(LOOKUP, no_answer(), whole())
        self.assertEqual(reply.status, 502)
        self.assertEqual(len(self.client.sent), 1)

    def test_attempts_are_limited(self) -> None:
        """Guard against more runs than the route allows."""
        reply = self.forward(LOOKUP, whole(500), whole(500))
        self.assertEqual(reply.status, 500)
        self.assertEqual(len(self.client.sent), LOOKUP.max_attempt_count)

    def test_refusal_without_a_statement(self) -> None:
        """Guard against a "not run" reply that the server did not state."""
        for status in (408, 421, 429, 503):
            for route in (LOOKUP, BOOKING):
                reply = self.forward(route, whole(status), whole(status))
                self.assertEqual(reply.status, 502)

    def test_booking_with_a_lost_answer(self) -> None:
        """Guard against a second run and a false "not run" reply."""
        for lost in (no_answer(), torn()):
            reply = self.forward(BOOKING, lost)
            self.assertEqual(reply.status, 502)
            self.assertEqual(len(self.client.sent), 1)

    def test_booking_that_was_turned_away(self) -> None:
        """Guard against failing a booking that another server can run."""
        reply = self.forward(BOOKING, not_run_error(), turned_away(), whole())
        self.assertEqual(reply.status, 200)

    def test_booking_that_no_server_ran(self) -> None:
        """Guard against an ambiguous reply when nothing has run."""
        reply = self.forward(BOOKING, *(turned_away() for _ in range(3)))
        self.assertEqual(reply.status, 503)
        self.assertIn('retry-after', dict(reply.headers))

    def test_lost_answer_then_turned_away(self) -> None:
        """Guard against a "not run" reply if an attempt may have run."""
        reply = self.forward(LOOKUP, no_answer(), turned_away(), turned_away())
        self.assertEqual(reply.status, 502)

    def test_request_is_repeated_after_torn_answer(self) -> None:
        """Guard against returning an incomplete answer."""
        reply = self.forward(LOOKUP, torn(b'half'), whole(body=b'whole'))
        self.assertEqual(reply.body, b'whole')

    def test_unsealed_success_is_not_returned(self) -> None:
        """Guard against returning an answer without the seal of a server."""
        unsealed = whole()
        unsealed.head = dataclasses.replace(unsealed.head, sealed=False)
        reply = self.forward(BOOKING, unsealed)
        self.assertEqual(reply.status, 502)

    def test_failure_of_a_booking_is_returned(self) -> None:
        """Guard against hiding the server's error answer."""
        reply = self.forward(BOOKING, whole(500, b'no'))
        self.assertEqual((reply.status, reply.body), (500, b'no'))
