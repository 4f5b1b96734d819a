"""Tests of requests whose callers have left before they are sent on.

Failure pattern: all threads of an entry are busy for a while; requests whose
callers have left meanwhile reach servers half a second and more later.
"""

import unittest
from unittest.mock import Mock

from tests.forwarding_builders import build_request, build_route
from tests.forwarding_fakes import FakeCaller
from wasabistream.forwarding.forwarders import Forwarder
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.routes import RouteKind


class LeftCallerTest(unittest.TestCase):
    """Guard against work at servers that nobody waits for."""

    def setUp(self) -> None:
        """Create a forwarder whose requests are answered at once."""
        self.unary = Mock()
        self.unary.forward.return_value = Reply(200)
        self.streams = Mock()
        guard = Mock()
        guard.find_refusal_reason.return_value = ''
        self.forwarder = Forwarder(Mock(), self.unary, self.streams, guard)

    def test_caller_that_has_left(self) -> None:
        """Guard against sending a request whose caller has left."""
        for kind in RouteKind:
            caller = FakeCaller(disconnected=True)
            self.forwarder.forward(build_request(build_route(kind)), caller)
            self.assertTrue(caller.aborted)
            self.assertEqual(caller.replies, [])
        self.unary.forward.assert_not_called()
        self.streams.forward.assert_not_called()

    def test_caller_that_waits(self) -> None:
        """Guard against dropping a request whose caller waits."""
        caller = FakeCaller()
        self.forwarder.forward(build_request(), caller)
        self.assertEqual([reply.status for reply in caller.replies], [200])


if __name__ == '__main__':
    unittest.main()
