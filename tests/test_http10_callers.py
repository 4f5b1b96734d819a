"""Tests of callers that use HTTP/1.0, which has no chunks.

Failure pattern: a stream is broken off, and its caller, for whom the end of the
connection is that of the stream, takes the first part for the whole.
"""

import socket
import time
import unittest

from tests.daemon_processes import DaemonCase
from tests.deadline_servers import EVENT_COUNT, DeadlineServer
from tests.platform_paths import WAIT_SECONDS

SHORT_MS = 300
LONG_MS = 5000


class Http10CallerTest(DaemonCase):
    """Guard against broken-off streams that look complete."""

    def setUp(self) -> None:
        """Start an entry before a server that stops at its deadline."""
        super().setUp()
        self.backend.respond = DeadlineServer().respond
        self.entry = self.start_entry()

    def read_stream(self, remaining_ms: int) -> tuple[bytes, bool]:
        """Return a stream and whether its connection was reset."""
        lines = (
            'GET /chat/x HTTP/1.0',
            'Host: host.example',
            'Authorization: Bearer key-1',
            f'Wasabistream-Request-Attempt-Id: r-{time.monotonic_ns()}',
            f'Wasabistream-Deadline-Remaining: {remaining_ms}',
        )
        address = ('127.0.0.1', self.entry.front_port)
        received = b''
        with socket.create_connection(address, timeout=WAIT_SECONDS) as sock:
            sock.sendall('\r\n'.join((*lines, '', '')).encode())
            try:
                while piece := sock.recv(65536):
                    received += piece
            except ConnectionResetError:
                return received, True
        return received, False

    def test_stream_is_broken_off(self) -> None:
        """Guard against a regular end of the connection."""
        received, is_reset = self.read_stream(SHORT_MS)
        self.assertIn(b'id: 1\n', received)
        self.assertLess(received.count(b'data: '), EVENT_COUNT)
        self.assertTrue(is_reset)

    def test_whole_stream(self) -> None:
        """Guard against a reset after the last event."""
        received, is_reset = self.read_stream(LONG_MS)
        self.assertEqual(received.count(b'data: '), EVENT_COUNT)
        self.assertFalse(is_reset)


if __name__ == '__main__':
    unittest.main()
