"""Tests of the ban on poison requests, which crash their servers.

Failure pattern: a request crashes each server that runs it, and its caller
sends it again.
"""

import dataclasses
import unittest
from unittest.mock import Mock, patch

from tests.forwarding_builders import (
    build_request,
    build_route,
    build_server,
)
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.routes import RouteKind
from wasabistream.messages import Message
from wasabistream.poison_parts import PoisonPartDetector

POISON = build_request()
GONE = NotRunError('refused', 'connect', 'server')


class PoisonRequestGuardTest(unittest.TestCase):
    """Protect the fleet from one request that crashes server after server."""

    def setUp(self) -> None:
        """Create a guard whose notices are recorded."""
        self.probe = Mock()
        self.sent_notices: list[Message] = []
        self.guard = PoisonRequestGuard(
            self.probe, self.sent_notices.append, PoisonPartDetector()
        )
        clock = patch('wasabistream.forwarding.poison_request_guards.time')
        self.time = clock.start().time
        self.addCleanup(clock.stop)
        self.time.return_value = 1000.0

    def crash(
        self,
        number: int,
        request: ForwardRequest = POISON,
        *,
        has_begun: bool = True,
    ) -> None:
        """Record that a server crashed while it held a request."""
        self.probe.probe.side_effect = GONE
        # Longer than CRASH_WINDOW_SECONDS: crashes of a server under one
        # request within a window count as one.
        self.time.return_value += 10
        self.guard.record_lost_answer(
            build_server(number), request, has_begun=has_begun
        )

    def test_second_crash_bans(self) -> None:
        """A request is banned at its second crash, not at its first."""
        self.crash(1)
        self.assertFalse(self.guard.find_refusal_reason(POISON))
        self.crash(2)
        self.assertTrue(self.guard.find_refusal_reason(POISON))

    def test_new_id_is_recognised(self) -> None:
        """A banned request stays banned when it is sent under a new id."""
        self.crash(1)
        self.crash(2)
        again = dataclasses.replace(POISON, request_id='request-2')
        self.assertTrue(self.guard.find_refusal_reason(again))

    def test_other_entries_apply_the_ban(self) -> None:
        """A ban that one entry imposes applies at the other entries."""
        self.crash(1)
        self.crash(2)
        other_guard = PoisonRequestGuard(Mock(), Mock(), PoisonPartDetector())
        for notice in self.sent_notices:
            other_guard.on_crash_notice(notice)  # type: ignore[arg-type]
        self.assertTrue(other_guard.find_refusal_reason(POISON))

    def test_lost_answer_is_no_crash(self) -> None:
        """A request whose answers are lost while servers run is not banned."""
        self.probe.probe.side_effect = None
        for number in range(5):
            self.guard.record_lost_answer(
                build_server(number), POISON, has_begun=True
            )
        self.assertFalse(self.guard.find_refusal_reason(POISON))

    def test_waiting_stream_is_banned_later(self) -> None:
        """Guard against a ban on a sound stream that waited in two servers.

        Its answer had not begun when they crashed under another request.
        """
        self.assertEqual(
            self.refusals_after_crashes(RouteKind.streaming),
            [(False, False), (False, False), (True, True)],
        )

    def test_whole_answers_do_not_begin_before_a_crash(self) -> None:
        """Guard against a third crash by a request without a stream."""
        self.assertEqual(
            self.refusals_after_crashes(RouteKind.idempotent),
            [(False, False), (True, True), (True, True)],
        )

    def refusals_after_crashes(
        self, kind: RouteKind
    ) -> list[tuple[bool, bool]]:
        """Return after each of three crashes who refuses a request.

        Its answers had not begun. The second one is an entry that was told.
        """
        request = build_request(build_route(kind))
        other_guard = PoisonRequestGuard(Mock(), Mock(), PoisonPartDetector())
        refusals = []
        for number in range(3):
            self.crash(number, request, has_begun=False)
            other_guard.on_crash_notice(self.sent_notices[-1])  # type: ignore[arg-type]
            refusals.append(
                (
                    bool(self.guard.find_refusal_reason(request)),
                    bool(other_guard.find_refusal_reason(request)),
                )
            )
        return refusals

    def test_answered_request_is_cleared(self) -> None:
        """An answer clears the crash before it, which had another cause."""
        self.crash(1)
        self.guard.record_answer(POISON, 0)
        self.crash(2)
        self.assertFalse(self.guard.find_refusal_reason(POISON))
