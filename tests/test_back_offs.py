"""Tests of servers that turn requests away and say when to come back.

Failure pattern: a server in need answers 503 with Retry-After, and the next
requests are sent to it all the same.
"""

import dataclasses
import unittest

from tests.forwarding_builders import (
    Clock,
    build_advisories,
    build_fleet,
    build_holder,
    build_request,
    build_server,
)
from tests.platform_paths import (
    BackendHandler,
    PlatformPathCase,
)
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.back_offs import MAX_BACK_OFF_SECONDS
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.platform.advisory_decoders import decode_advisory


class BackOffTest(unittest.TestCase):
    """Guard against requests to a server that wants none for a time."""

    def setUp(self) -> None:
        """Create a guard with two listed servers."""
        self.clock = Clock()
        self.server = dataclasses.replace(build_server(1), started_unix_ms=5)
        self.other = build_server(2)
        self.guard: AdvisoryGuard = build_advisories(self.clock)
        self.guard.on_fleet_changed(build_fleet(self.server, self.other))

    def refuse(self, retry_after_seconds: float) -> None:
        """Receive a refusal of the first server."""
        advisory = ServerAdvisory(retry_after_seconds=retry_after_seconds)
        self.guard.record_answer(self.server, advisory, self.clock())

    def test_server_gets_nothing_until_the_time_is_over(self) -> None:
        """Guard against requests before the stated time is over.

        A shorter time and an answer without one, which the server may have
        begun before, do not end it.
        """
        self.refuse(3)
        self.refuse(1)
        self.guard.record_answer(self.server, ServerAdvisory(), self.clock())
        self.clock.advance(2.9)
        self.assertFalse(self.guard.admits(self.server))
        self.assertFalse(self.guard.try_take(self.server))
        self.assertTrue(self.guard.try_take(self.other))
        self.clock.advance(0.2)
        self.assertTrue(self.guard.try_take(self.server))

    def test_restarted_server_and_reused_address(self) -> None:
        """Guard against avoiding a server that has just started."""
        self.refuse(60)
        restarted = dataclasses.replace(self.server, started_unix_ms=6)
        self.assertTrue(self.guard.admits(restarted))
        self.guard.on_fleet_changed(build_fleet(self.server, self.other))
        self.assertFalse(self.guard.admits(self.server))
        other_server = dataclasses.replace(self.server, server_id='server-9')
        self.guard.on_fleet_changed(build_fleet(other_server, self.other))
        self.assertTrue(self.guard.admits(other_server))

    def test_wrong_time_does_not_last_for_good(self) -> None:
        """Guard against a server that is out of use for years."""
        self.refuse(1e9)
        self.clock.advance(MAX_BACK_OFF_SECONDS)
        self.assertTrue(self.guard.admits(self.server))

    def test_refusal_states_the_time(self) -> None:
        """Guard against callers that come back before any server takes one."""
        self.refuse(4)
        refuser = Refuser(build_holder(self.server), self.guard)
        reply = refuser.refuse(build_request())
        self.assertGreaterEqual(float(dict(reply.headers)['retry-after']), 3.9)

    def test_decoded_statement(self) -> None:
        """Guard against a time that is read from another kind of answer."""
        for status, text, expected in (
            (503, '2', 2),
            (503, '0.5', 0.5),
            (503, '0', 0),
            (503, '-1', 0),
            (503, 'Fri, 04 Dec 2026 12:00:00 GMT', 0),
            (429, '2', 0),
            (200, '2', 0),
        ):
            advisory = decode_advisory(status, {'retry-after': text}, 'server')
            self.assertEqual(advisory.retry_after_seconds, expected, text)


class BackOffPathTest(PlatformPathCase):
    """Guard against an entry that asks a server again too soon."""

    def test_requests_go_elsewhere(self) -> None:
        """Guard against twenty requests at a server that wants none."""
        self.add_backend()
        self.backend.respond = turn_away
        answers = [self.get(b'back-off-%d' % number) for number in range(20)]
        self.assertEqual(len(self.backend.received_requests), 1)
        self.assertTrue(all(b' 200 ' in raw for raw in answers))


def turn_away(handler: BackendHandler) -> None:
    """Refuse a request without running it, and state a time."""
    handler.send_response(503)
    handler.send_header('Wasabistream-Not-Executed', '1')
    handler.send_header('Retry-After', '30')
    handler.send_header('Content-Length', '0')
    handler.end_headers()
    handler.close_connection = True
