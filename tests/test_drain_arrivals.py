"""Tests of entry processes that are stopped while requests arrive.

Failure pattern: a stopping entry overlooks requests that it reads or has just
taken, and ends before it has answered them.
"""

import signal
import socket
import time
from http.client import HTTPResponse

from tests.daemon_processes import DaemonCase
from tests.platform_paths import BackendHandler
from wasabistream.applications import EXIT_CUT

GRACE_SECONDS = 8.0
# Its drain ends soon after the load balancers have noticed it.
SHORT_GRACE_SECONDS = 4.0
ENGINE_SECONDS = 1.5
DEADLINE_MS = 6000
# The rest of a body arrives once the load balancers have noticed the drain.
BODY_END_SECONDS = 2.7
SIGNAL_INTERVAL_SECONDS = 0.3
SIGNAL_COUNT = 20_000
HALF_HEAD_BYTES = 50
CHUNKED_HEAD = (
    b'POST /chat/x HTTP/1.1\r\nHost: host.example\r\n'
    b'Wasabistream-Request-Attempt-Id: %s\r\n'
    b'Wasabistream-Deadline-Remaining: %d\r\n'
    b'Wasabistream-Token-Usage: 2550,12\r\n'
    b'Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nhalf\r\n'
)
BODY_END = b'4\r\nrest\r\n0\r\n\r\n'


class DrainArrivalTest(DaemonCase):
    """Guard against requests that are passed on and cut without an answer."""

    def setUp(self) -> None:
        """Start an entry whose engine answers generations late."""
        super().setUp()
        answer = self.backend.respond

        def answer_late(handler: BackendHandler) -> None:
            if handler.path == '/chat/x':
                time.sleep(ENGINE_SECONDS)
            answer(handler)

        self.backend.respond = answer_late

    def test_body_that_ends_after_an_idle_drain(self) -> None:
        """Guard against an exit while a request that arrived in chunks runs."""
        with self.send_head(GRACE_SECONDS) as sock:
            time.sleep(BODY_END_SECONDS)
            sock.sendall(BODY_END)
            self.assertEqual(read_answer(sock), (200, b'{}'))
        self.assertEqual(self.entry.process.wait(GRACE_SECONDS), 0)

    def test_body_that_does_not_end(self) -> None:
        """Guard against a body that is cut off without a refusal."""
        with self.send_head(SHORT_GRACE_SECONDS) as sock:
            self.assertEqual(read_answer(sock), (503, b''))
        self.assertEqual(self.entry.process.wait(GRACE_SECONDS), EXIT_CUT)

    def test_repeated_signals(self) -> None:
        """Guard against a second SIGTERM that takes the grace time away."""
        with self.send_head(GRACE_SECONDS) as sock:
            sock.sendall(BODY_END)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
                time.sleep(SIGNAL_INTERVAL_SECONDS)
                self.entry.process.send_signal(number)
            self.assertEqual(read_answer(sock), (200, b'{}'))
        self.assertEqual(self.entry.process.wait(GRACE_SECONDS), 0)

    def test_head_that_does_not_end(self) -> None:
        """Guard against a head that is taken for a bad request at the end."""
        entry = self.start_entry({'grace_s': SHORT_GRACE_SECONDS})
        entry.process.send_signal(signal.SIGTERM)
        # Its time for a head is longer than the rest of the drain.
        time.sleep(SHORT_GRACE_SECONDS / 2)
        with socket.create_connection(('127.0.0.1', entry.front_port)) as sock:
            sock.settimeout(GRACE_SECONDS)
            sock.sendall(CHUNKED_HEAD[:HALF_HEAD_BYTES])
            self.assertEqual(read_answer(sock), (503, b''))
        self.assertEqual(entry.process.wait(GRACE_SECONDS), EXIT_CUT)

    def test_many_signals(self) -> None:
        """Guard against a signal handler that waits for the one it interrupts."""
        entry = self.start_entry({'grace_s': GRACE_SECONDS})
        for _ in range(SIGNAL_COUNT):
            entry.process.send_signal(signal.SIGHUP)
        entry.process.send_signal(signal.SIGTERM)
        self.assertEqual(entry.process.wait(GRACE_SECONDS), 0)

    def send_head(self, grace_seconds: float) -> socket.socket:
        """Stop an entry and send it the first part of a generation."""
        entry = self.start_entry({'grace_s': grace_seconds})
        self.entry = entry
        entry.process.send_signal(signal.SIGTERM)
        sock = socket.create_connection(('127.0.0.1', entry.front_port))
        sock.settimeout(GRACE_SECONDS)
        sock.sendall(CHUNKED_HEAD % (b'g1', DEADLINE_MS))
        return sock


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Return status and body of an answer; raises HTTPException, OSError."""
    response = HTTPResponse(sock)
    response.begin()
    return response.status, response.read()
