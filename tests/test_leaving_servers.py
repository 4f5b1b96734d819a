"""Tests of servers that state in their answers that they leave.

Failure pattern: the store is silent, late or lists a server as ready, while the
server itself has told its callers that it leaves.
"""

import dataclasses
import unittest

from tests.forwarding_builders import (
    ENGINE_SERVICE,
    Clock,
    build_advisories,
    build_fleet,
    build_server,
)
from tests.platform_paths import (
    BackendHandler,
    PlatformPathCase,
    answer,
)
from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.backend_servers import build_unlisted_server
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.server_advisories import ServerAdvisory
from wasabistream.forwarding.server_records import UNLISTED_SECONDS
from wasabistream.platform.advisory_decoders import decode_advisory

LEAVING = ServerAdvisory(is_leaving=True)


class LeavingServerTest(unittest.TestCase):
    """Guard against requests to a server that has said that it leaves."""

    def setUp(self) -> None:
        """Create a guard with two listed servers, one of which leaves."""
        self.clock = Clock()
        self.server = dataclasses.replace(build_server(1), started_unix_ms=5)
        self.other = build_server(2)
        self.guard: AdvisoryGuard = build_advisories(self.clock)
        self.guard.on_fleet_changed(build_fleet(self.server, self.other))
        self.guard.record_answer(self.server, LEAVING, self.clock())

    def test_own_statement_outlasts_the_store(self) -> None:
        """Guard against a list that still, or again, says ready."""
        self.clock.advance(3600)
        self.guard.on_fleet_changed(build_fleet(self.server, self.other))
        self.assertFalse(self.guard.admits(self.server))
        self.assertFalse(self.guard.try_take(self.server))
        self.assertTrue(self.guard.admits(self.other))

    def test_later_answer_does_not_take_it_back(self) -> None:
        """Guard against an answer that the server began before it left."""
        self.guard.record_answer(self.server, ServerAdvisory(), self.clock())
        self.guard.record_answer(self.server, None, self.clock())
        self.assertFalse(self.guard.admits(self.server))

    def test_unlisted_and_announced_server(self) -> None:
        """Guard against an engine that its agent announces once more."""
        self.guard.on_fleet_changed(build_fleet(self.other))
        announced = build_unlisted_server(
            parse_endpoint(self.server.endpoint), ENGINE_SERVICE, 'dc', 24
        )
        self.guard.on_fleet_changed(build_fleet(announced, self.other))
        self.assertFalse(self.guard.admits(announced))

    def test_announced_server_and_another_at_its_address(self) -> None:
        """Guard against avoiding another server at the address for good.

        The statement came while the store was away, from an engine without an
        id; the address may have gone to another one meanwhile.
        """
        announced = build_unlisted_server(
            parse_endpoint(self.other.endpoint), ENGINE_SERVICE, 'dc', 24
        )
        self.guard.on_fleet_changed(build_fleet(announced))
        self.guard.record_answer(announced, LEAVING, self.clock())
        self.assertFalse(self.guard.admits(announced))
        self.guard.on_fleet_changed(build_fleet(self.other))
        self.assertTrue(self.guard.admits(self.other))

    def test_late_answer_of_a_server_that_has_ended(self) -> None:
        """Guard against a statement that hides the one of its successor."""
        successor = dataclasses.replace(self.server, server_id='server-9')
        self.guard.on_fleet_changed(build_fleet(successor, self.other))
        self.guard.record_answer(successor, LEAVING, self.clock())
        late = ServerAdvisory(1, is_leaving=True, retry_after_seconds=60)
        self.guard.record_answer(self.server, late, self.clock())
        self.assertFalse(self.guard.admits(successor))

    def test_restarted_server_and_reused_address(self) -> None:
        """Guard against avoiding a server that has just started."""
        restarted = dataclasses.replace(self.server, started_unix_ms=6)
        other_server = dataclasses.replace(self.server, server_id='server-9')
        self.assertTrue(self.guard.admits(restarted))
        self.assertTrue(self.guard.admits(other_server))
        self.guard.on_fleet_changed(build_fleet(other_server, self.other))
        self.assertTrue(self.guard.admits(other_server))

    def test_server_that_has_left_is_forgotten(self) -> None:
        """Guard against records that grow with each server that ever left."""
        self.guard.on_fleet_changed(build_fleet(self.other))
        self.clock.advance(UNLISTED_SECONDS + 1)
        self.guard.on_fleet_changed(build_fleet(self.other))
        self.assertTrue(self.guard.admits(self.server))

    def test_decoded_statement(self) -> None:
        """Guard against words that pass for the statement, or for none."""
        for text, expected in (
            ('1', True),
            (' 1 ', True),
            ('0', False),
            ('', False),
            ('true', False),
            ('11', False),
        ):
            advisory = decode_advisory(200, {'server-leaving': text}, 'server')
            self.assertEqual(advisory.is_leaving, expected, text)
        self.assertFalse(decode_advisory(200, {}, 'server').is_leaving)


class LeavingServerPathTest(PlatformPathCase):
    """Guard against an entry that waits for the store to say so."""

    def test_silent_store(self) -> None:
        """Guard against requests to a leaving server while the store is away."""
        other = self.add_backend()
        self.store.silent = True
        self.addCleanup(setattr, self.store, 'silent', False)
        self.backend.respond = answer_and_leave
        for number in range(20):
            self.get(b'leaving-%d' % number)
        self.assertEqual(len(self.backend.received_requests), 1)
        self.assertEqual(len(other.received_requests), 19)


def answer_and_leave(handler: BackendHandler) -> None:
    """Answer a request and state that the server leaves."""
    answer(handler, extra_headers={'Server-Leaving': '1'})
