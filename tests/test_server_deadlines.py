"""Tests of answers without a length whose server stops at its deadline.

Failure pattern: the entry tells the server how long it may work, and takes the
end of the connection at that time for the end of the answer.
"""

import copy
import re
import signal
import socket
import time
import unittest

from tests.daemon_processes import DaemonCase
from tests.deadline_servers import (
    EVENT_COUNT,
    PIECE,
    PIECE_COUNT,
    PIECE_SECONDS,
    DeadlineServer,
)
from tests.platform_builders import CONFIGURATION, build_row
from tests.platform_paths import WAIT_SECONDS, exchange

LAST_CHUNK = b'0\r\n\r\n'
EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
WHOLE_SECONDS = PIECE_COUNT * PIECE_SECONDS
# Deadline that passes while an answer is on its way.
SHORT_MS = 300
LONG_MS = 5000
# Time after which a configuration that was written is in force.
APPLY_SECONDS = 0.5


def build_head(request_id: str, path: str, remaining_ms: int) -> bytes:
    """Return the head of a request that closes its connection."""
    lines = (
        f'GET {path} HTTP/1.1',
        'Host: host.example',
        'Authorization: Bearer key-1',
        f'Wasabistream-Request-Attempt-Id: {request_id}',
        f'Wasabistream-Deadline-Remaining: {remaining_ms}',
        'Connection: close',
    )
    return '\r\n'.join((*lines, '', '')).encode()


def count_events(raw: bytes) -> int:
    """Return the number of events in an answer."""
    return len(EVENT_ID.findall(raw))


class ServerDeadlineTest(DaemonCase):
    """Guard against parts of answers that look complete."""

    def setUp(self) -> None:
        """Start an entry before a server that stops at its deadline."""
        super().setUp()
        self.server = DeadlineServer()
        self.backend.respond = self.server.respond
        self.entry = self.start_entry()

    def ask(self, path: str, remaining_ms: int) -> bytes:
        """Send a request and return its answer."""
        head = build_head(f'r-{time.monotonic_ns()}', path, remaining_ms)
        return exchange(self.entry.front_port, head)

    def shorten_time_out(self) -> None:
        """Write a configuration with a shorter time-out for streams."""
        document = copy.deepcopy(CONFIGURATION)
        document['version'] += 1
        document['routes'][0]['timeout_ms'] = SHORT_MS
        self.store.put(build_row('op/config', 9, document))
        time.sleep(APPLY_SECONDS)

    def assert_broken_off(self, raw: bytes) -> None:
        """Check that a stream has begun and does not end as complete."""
        self.assertIn(b' 200 ', raw[:20])
        self.assertTrue(0 < count_events(raw) < EVENT_COUNT, raw)
        self.assertFalse(raw.endswith(LAST_CHUNK), raw[-80:])

    def assert_whole(self, raw: bytes) -> None:
        """Check that a stream has all events and ends as complete."""
        self.assertEqual(count_events(raw), EVENT_COUNT)
        self.assertTrue(raw.endswith(LAST_CHUNK), raw[-80:])

    def test_stream_at_the_deadline_of_its_caller(self) -> None:
        """Guard against a stream that ends as complete at its deadline."""
        for _ in range(5):
            self.assert_broken_off(self.ask('/chat/x', SHORT_MS))

    def test_time_out_is_shortened(self) -> None:
        """Guard against the same when a configuration sets the deadline."""
        self.shorten_time_out()
        for _ in range(5):
            self.assert_broken_off(self.ask('/chat/x', LONG_MS))

    def test_plain_answer(self) -> None:
        """Guard against the first part of a plain answer as a success."""
        for _ in range(5):
            raw = self.ask('/chat/desk/x', SHORT_MS)
            self.assertIn(b' 504 ', raw[:20])
            self.assertNotIn(PIECE, raw)
        # No other attempt is made, as the deadline has passed.
        self.assertEqual(len(self.server.written_counts), 5)

    def test_failure_is_cut(self) -> None:
        """Guard against the first part of a failure as the whole one."""
        self.server.status = 404
        raw = self.ask('/chat/desk/x', SHORT_MS)
        self.assertIn(b' 504 ', raw[:20])
        self.assertNotIn(PIECE, raw)

    def test_whole_answers_before_the_deadline(self) -> None:
        """Guard against breaking off what ends shortly before its deadline."""
        # Twice the tolerance, and the time that the path takes on a busy machine.
        spare_ms = 250
        remaining_ms = round(WHOLE_SECONDS * 1000) + spare_ms
        self.assert_whole(self.ask('/chat/x', remaining_ms))
        self.server.piece_count //= 2
        raw = self.ask('/chat/desk/x', remaining_ms // 2 + spare_ms)
        self.assertIn(b' 200 ', raw[:20])
        self.assertEqual(raw.count(PIECE), self.server.piece_count)

    def test_time_out_is_shortened_during_a_stream(self) -> None:
        """Guard against a new time-out for a stream that has begun.

        A request has the deadline of the configuration that it began with: a
        configuration that ends requests in progress would cut them (LOST).
        """
        self.server.piece_count = 3 * PIECE_COUNT
        address = ('127.0.0.1', self.entry.front_port)
        with socket.create_connection(address, timeout=WAIT_SECONDS) as sock:
            sock.sendall(build_head('r1', '/chat/x', LONG_MS))
            raw = sock.recv(65536)
            self.shorten_time_out()
            while piece := sock.recv(65536):
                raw += piece
        self.assertEqual(count_events(raw), self.server.piece_count)
        self.assertTrue(raw.endswith(LAST_CHUNK))

    def test_entry_is_paused_at_the_deadline(self) -> None:
        """Guard against an end that is read long after it came."""
        address = ('127.0.0.1', self.entry.front_port)
        for number in range(3):
            with socket.create_connection(
                address, timeout=WAIT_SECONDS
            ) as sock:
                sock.sendall(build_head(f'r{number}', '/chat/x', SHORT_MS))
                raw = sock.recv(65536)
                self.entry.process.send_signal(signal.SIGSTOP)
                time.sleep(2 * SHORT_MS / 1000)
                self.entry.process.send_signal(signal.SIGCONT)
                while piece := sock.recv(65536):
                    raw += piece
            self.assert_broken_off(raw)


if __name__ == '__main__':
    unittest.main()
