"""Tests of requests whose bodies take a part of their time to arrive.

Failure pattern: the time that a body takes is given to the request again, which
its caller has left by then.
"""

import socket
import time
import unittest

from tests.platform_paths import PlatformPathCase
from tests.test_stops import read_status

DEADLINE_MS = 2000
ROUTE_SECONDS = 0.8
BODY_SECONDS = 0.6
# In which a busy entry reads the head; that time is not known to it.
HEAD_SECONDS = 0.1
HEAD = (
    b'POST /chat/desk/x HTTP/1.1\r\nHost: host.example\r\n'
    b'Wasabistream-Request-Attempt-Id: b1\r\n'
    b'Wasabistream-Deadline-Remaining: %d\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'
)


class SlowBodyTest(PlatformPathCase):
    """Guard against requests that are held past their deadline."""

    def test_deadline(self) -> None:
        """Guard against a deadline that begins when the body has ended."""
        with socket.create_connection(
            ('127.0.0.1', self.entry.front_port)
        ) as sock:
            sock.sendall(HEAD % DEADLINE_MS)
            time.sleep(BODY_SECONDS)
            sock.sendall(b'4\r\nrest\r\n0\r\n\r\n')
            self.assertEqual(read_status(sock), 200)
        _, headers = self.backend.received_requests[0]
        self.assertLessEqual(
            int(headers['wasabistream-deadline-remaining']),
            (ROUTE_SECONDS - BODY_SECONDS + HEAD_SECONDS) * 1000,
        )


if __name__ == '__main__':
    unittest.main()
