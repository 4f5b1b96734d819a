"""Tests of what an entry may have ended itself.

Failure pattern: the entry sets the time at which an attempt ends, and reads its
end as that of a whole answer.
"""

import math
import unittest
from dataclasses import replace
from unittest.mock import Mock

from tests.ending_builders import EndCase
from tests.forwarding_builders import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    build_answer_buffers,
    build_fleet,
    build_parts,
    build_request,
    build_route,
    build_server,
)
from tests.forwarding_fakes import FakeCaller, FakeClient, whole
from wasabistream.forwarding.attempts import AttemptHistory
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.supervisors import CutReason, RequestWatch
from wasabistream.forwarding.unary_forwarders import UnaryForwarder
from wasabistream.run_endings.boot_clocks import read_boot_clock
from wasabistream.run_endings.end_checkers import EndChecker
from wasabistream.run_endings.ending_exchanges import EndingExchange
from wasabistream.run_endings.own_ends import (
    DEADLINE_TOLERANCE_SECONDS,
    EndedAttempt,
    OwnEnd,
    find_own_end,
)

DEADLINE_SECONDS = 100.0
AGENT = frozenset(('agent-1',))


class OwnEndTest(unittest.TestCase):
    """Guard against ends of ours that count as those of whole answers."""

    def test_deadline(self) -> None:
        """Guard against a stop at the deadline, also one read late."""
        attempt = EndedAttempt(None, DEADLINE_SECONDS)
        for ended_at_seconds, own_end in (
            (DEADLINE_SECONDS - 1, None),
            (DEADLINE_SECONDS - 2 * DEADLINE_TOLERANCE_SECONDS, None),
            (
                DEADLINE_SECONDS - DEADLINE_TOLERANCE_SECONDS / 2,
                OwnEnd.deadline,
            ),
            (DEADLINE_SECONDS, OwnEnd.deadline),
            # The process was paused meanwhile.
            (DEADLINE_SECONDS + 60, OwnEnd.deadline),
        ):
            found = find_own_end(attempt, ended_at_seconds)
            self.assertIs(found, own_end, ended_at_seconds)

    def test_drift_of_clocks(self) -> None:
        """Guard against a tolerance below the drift of two VMs' clocks."""
        longest_deadline_seconds = 39
        drift_ratio = 500e-6
        drift_seconds = longest_deadline_seconds * drift_ratio
        self.assertGreater(DEADLINE_TOLERANCE_SECONDS, drift_seconds)

    def test_cut(self) -> None:
        """Guard against any end after a cut by this entry."""
        for reason in CutReason:
            attempt = EndedAttempt(reason, math.inf, AGENT)
            self.assertIs(find_own_end(attempt, 0), OwnEnd.cut)

    def test_announced_stop(self) -> None:
        """Guard against asking the agent when the deadline has passed."""
        attempt = EndedAttempt(None, DEADLINE_SECONDS, AGENT)
        self.assertIs(find_own_end(attempt, 0), OwnEnd.announcement)
        self.assertIs(find_own_end(attempt, DEADLINE_SECONDS), OwnEnd.deadline)


class DeadlineCheckTest(unittest.TestCase):
    """Guard against ends at the deadline that others call complete."""

    def test_run_of_an_engine(self) -> None:
        """Guard against the word of an agent that has stopped nothing."""
        for service in (ENGINE_SERVICE, PLAIN_SERVICE):
            end = EndCase(service)
            end.open_link()
            end.answer = 'complete'
            end.watch.server_deadline_seconds = end.boot_clock() + 3
            self.assertTrue(end.is_accepted())
            end.boot_clock.advance(3)
            self.assertFalse(end.is_accepted())
            self.assertIs(end.watch.reason, CutReason.timeout)
            self.assertTrue(end.watch.is_ended)

    def test_next_attempt(self) -> None:
        """Guard against the deadline of an attempt that is over."""
        end = EndCase()
        end.watch.server_deadline_seconds = end.boot_clock()
        end.watch.attach(end.server.endpoint, Mock())
        self.assertEqual(end.watch.server_deadline_seconds, math.inf)

    def test_unary_forwarder(self) -> None:
        """Guard against a further attempt, and against blaming the request.

        A stop at the deadline is no sign that the request crashes servers.
        """
        exchange = whole(200, b'{}')
        exchange.head = replace(exchange.head, ends_with_connection=True)
        exchange.server_deadline_seconds = read_boot_clock()
        parts = build_parts(
            FakeClient(exchange, whole()), build_server(1), build_server(2)
        )
        guard = Mock(wraps=parts.poison_guard)
        forwarder = UnaryForwarder(
            parts.chooser,
            parts.sender,
            parts.failure_rates,
            guard,
            build_answer_buffers(),
            parts.refuser,
        )
        holder = FleetHolder()
        holder.current = build_fleet(build_server(1))
        forwarder.ends = EndChecker(holder, EndingExchange(), Mock(), Mock())
        watch = RequestWatch(
            build_request(build_route(RouteKind.idempotent)), FakeCaller()
        )
        history = AttemptHistory()
        self.assertEqual(forwarder.forward(watch, history).status, 504)
        self.assertEqual(history.sent_count, 1)
        guard.record_lost_answer.assert_not_called()


if __name__ == '__main__':
    unittest.main()
