"""Tests of connections that wait for heads while their server stops.

Failure pattern: a connection is accepted while the server stops, and the
request on it is neither handed to a thread nor refused.
"""

import unittest
from unittest.mock import Mock

from tests.builders import build_socket_pair, wait_until
from wasabistream.head_waiters import HeadWaiter

HALF_HEAD = b'GET /a HTTP/1.1\r\n'


class HeadWaiterStopTest(unittest.TestCase):
    """Guard against connections that nobody watches after a stop."""

    def setUp(self) -> None:
        """Connect a caller; the stop comes as its connection is added."""
        caller, accepted = build_socket_pair()
        self.caller = caller
        self.addCleanup(caller.close)
        self.addCleanup(accepted.close)
        self.connection = Mock(socket=accepted)
        self.connection.rfile.has_data.return_value = False
        self.handed_over = Mock()
        self.waiter = HeadWaiter(self.handed_over, self.stop, lambda: 1.0)

    def stop(self) -> float:
        """Stop the waiter and return the idle time."""
        self.waiter.stop()
        return 1.0

    def test_begun_request(self) -> None:
        """Guard against a begun request that is left without an answer."""
        self.caller.sendall(HALF_HEAD)
        self.waiter.add(self.connection)
        wait_until(lambda: self.handed_over.called)
        self.assertEqual(self.waiter.begun_requests(), [])

    def test_idle_connection(self) -> None:
        """Guard against an idle connection that holds up the stop."""
        self.waiter.add(self.connection)
        self.connection.close.assert_called_once()
        self.handed_over.assert_not_called()


if __name__ == '__main__':
    unittest.main()
