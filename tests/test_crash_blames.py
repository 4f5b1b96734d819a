"""Tests of the quarantine of requests that crash their servers.

Failure pattern: a request crashes each server that runs it, and its caller
sends it again.
"""

import dataclasses
import unittest
from unittest.mock import Mock, patch

from tests.forwarding_builders import build_request, build_server
from wasabistream.exceptions import NotRunError
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.messages import Message

POISON = build_request()
GONE = NotRunError('refused', 'connect', 'server')


class PoisonRequestGuardTest(unittest.TestCase):
    """Guard against one request that crashes the whole fleet."""

    def setUp(self) -> None:
        """Create a guard whose notices are recorded."""
        self.probe = Mock()
        self.sent_notices: list[Message] = []
        self.guard = PoisonRequestGuard(self.probe, self.sent_notices.append)
        clock = patch('wasabistream.forwarding.poison_request_guards.time')
        self.time = clock.start().time
        self.addCleanup(clock.stop)
        self.time.return_value = 1000.0

    def crash(self, number: int) -> None:
        """Record that the request crashed a server."""
        self.probe.probe.side_effect = GONE
        self.time.return_value += 10
        self.guard.record_lost_answer(build_server(number), POISON)

    def test_second_crash_bans(self) -> None:
        """Guard against a request that crashes one server after another."""
        self.crash(1)
        self.assertFalse(self.guard.is_banned(POISON))
        self.crash(2)
        self.assertTrue(self.guard.is_banned(POISON))

    def test_new_id_is_recognised(self) -> None:
        """Guard against admitting a banned request under a new id."""
        self.crash(1)
        self.crash(2)
        again = dataclasses.replace(POISON, request_id='request-2')
        self.assertTrue(self.guard.is_banned(again))

    def test_other_entries_apply_the_ban(self) -> None:
        """Guard against a ban that holds at one entry only."""
        self.crash(1)
        self.crash(2)
        other_guard = PoisonRequestGuard(Mock(), Mock())
        for notice in self.sent_notices:
            other_guard.on_crash_notice(notice)  # type: ignore[arg-type]
        self.assertTrue(other_guard.is_banned(POISON))

    def test_lost_answer_is_no_crash(self) -> None:
        """Guard against banning a request whose answers were only lost."""
        self.probe.probe.side_effect = None
        for number in range(5):
            self.guard.record_lost_answer(build_server(number), POISON)
        self.assertFalse(self.guard.is_banned(POISON))

    def test_request_that_ran_is_cleared(self) -> None:
        """Guard against banning a request that did not cause the crash."""
        self.crash(1)
        self.guard.record_answer(POISON)
        self.crash(2)
        self.assertFalse(self.guard.is_banned(POISON))
