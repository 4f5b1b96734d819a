"""Fuzz tests of requests and answers with malformed bytes.

The bytes are random, or valid ones with a piece cut, repeated or replaced.
"""

import logging
import re
import socket
import unittest
from functools import partial

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.platform_paths import (
    HEAD,
    READINESS_PROBE,
    BackendHandler,
    PlatformPathCase,
    answer,
    build_entry,
    exchange,
)

FUZZ = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
REQUEST = HEAD % b'f1' + b'Content-Length: 5\r\nConnection: close\r\n\r\nhello'
BODY = b'{"booked": true}'
ANSWER = (
    b'HTTP/1.1 200 OK\r\nWasabistream-Request-Attempt-Id: f2\r\n'
    b'Wasabistream-Response-Seal: s\r\nContent-Length: 16\r\n\r\n' + BODY
)
STATUS_LINE = re.compile(rb'HTTP/1\.1 (\d{3}) ')
VALID_REQUEST_LINE = 'GET /chat/desk/%2Fa?b=%20 HTTP/1.1'


@st.composite
def draw_mutated(draw: st.DrawFn, valid: bytes) -> bytes:
    """Return valid bytes with one piece replaced."""
    first = draw(st.integers(0, len(valid)))
    last = draw(st.integers(first, len(valid)))
    piece = draw(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                (
                    b'\r\n',
                    b'\n',
                    b'\r\n\r\n',
                    b'\x00',
                    b'Content-Length: 9999999\r\n',
                    b'Transfer-Encoding: chunked\r\n',
                    b'0\r\n\r\n',
                    valid,
                )
            ),
        )
    )
    return valid[:first] + piece + valid[last:]


def answer_raw(raw: bytes, handler: BackendHandler) -> None:
    """Answer with these bytes and close the connection."""
    handler.wfile.write(raw)
    handler.close_connection = True


class PlatformFuzzTest(PlatformPathCase):
    """Guard against bytes that stop an entry or pass for valid ones."""

    def send_and_half_close(self, raw: bytes) -> bytes:
        """Send bytes, shut down the sending side and return the answer."""
        with socket.create_connection(
            ('127.0.0.1', self.entry.front_port), timeout=10
        ) as sock:
            pieces = []
            try:
                sock.sendall(raw)
                sock.shutdown(socket.SHUT_WR)
                while piece := sock.recv(65536):
                    pieces.append(piece)
            except ConnectionError:
                # The entry closes with unread bytes, which resets the
                # connection.
                return b''.join(pieces)
            return b''.join(pieces)

    @FUZZ
    @given(raw=st.one_of(st.binary(max_size=200), draw_mutated(REQUEST)))
    def test_requests(self, raw: bytes) -> None:
        """Guard against passing on a request line or id that was not sent."""
        self.backend.received_requests.clear()
        # The HTTP server logs unhandled exceptions as errors.
        with self.assertNoLogs(level=logging.ERROR):
            received = self.send_and_half_close(raw)
        if received:
            self.assertRegex(received, STATUS_LINE)
        for line, headers in self.backend.received_requests:
            headers_by_name = {
                name.lower(): text for name, text in headers.items()
            }
            self.assertIn(line.encode('latin-1'), raw)
            sent_id = headers_by_name['wasabistream-request-attempt-id']
            self.assertIn(sent_id.encode('latin-1'), raw)
        self.backend.received_requests.clear()
        self.assertIn(b' 200 OK', self.get(b'f3'))
        self.assertEqual(
            self.backend.received_requests[0][0], VALID_REQUEST_LINE
        )

    @FUZZ
    @given(raw=st.one_of(st.binary(max_size=200), draw_mutated(ANSWER)))
    def test_answers(self, raw: bytes) -> None:
        """Guard against malformed answers that a caller gets as a success."""
        self.backend.respond = partial(answer_raw, raw)
        with self.assertNoLogs(level=logging.ERROR):
            received = self.get(b'f2')
        status_line = STATUS_LINE.match(received)
        if status_line is not None and status_line[1] == b'200':
            head, _, body = received.partition(b'\r\n\r\n')
            self.assertIn(b'wasabistream-response-seal', head.lower())
            self.assertIn(body, raw)
        self.backend.respond = answer
        self.assertIn(b' 200 OK', self.get(b'f4'))


class UnknownConfigurationTest(unittest.TestCase):
    """Guard against 401 and 404 before the first configuration."""

    def test_entry_without_store_refuses(self) -> None:
        """Guard against refusals that callers do not retry."""
        # Nothing listens at the store's address.
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        entry = build_entry(port)
        entry.on_start()
        self.addCleanup(entry.on_stop)
        head = HEAD % b'u1' + b'Connection: close\r\n\r\n'
        for raw in (head, head.replace(b'host.example', b'none.example')):
            self.assertIn(b' 503 ', exchange(entry.front_port, raw))
        received = exchange(entry.front_port, head)
        self.assertIn(b'retry-after: ', received.lower())
        self.assertNotIn(b' 200 ', exchange(entry.ready_port, READINESS_PROBE))
