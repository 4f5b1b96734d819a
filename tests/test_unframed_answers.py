"""Tests of answers and streams with neither a length nor chunks.

Failure pattern: a stream that ends with its connection ends inside an event,
and its caller takes what has arrived for the whole.
"""

import unittest

from tests.daemon_processes import DaemonCase
from tests.platform_paths import (
    HEAD,
    BackendHandler,
    answer_report,
    exchange,
)
from tests.test_odd_entries import CLOSING_GENERATION

EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
LAST_CHUNK = b'0\r\n\r\n'


class UnframedAnswerTest(DaemonCase):
    """Guard against answers whose end is misjudged."""

    def setUp(self) -> None:
        """Start an entry before a server that states no length."""
        super().setUp()
        self.body = b''
        self.backend.respond = self.respond
        self.entry = self.start_entry()

    def respond(self, handler: BackendHandler) -> None:
        """Answer without a length and end the connection."""
        if handler.path == '/-/report':
            # The entry has no link to an agent and asks the engine.
            answer_report(handler)
            return
        is_stream = handler.path == '/chat/x'
        handler.send_response(200)
        handler.send_header(
            'Wasabistream-Request-Attempt-Id',
            handler.headers['Wasabistream-Request-Attempt-Id'],
        )
        handler.send_header('Wasabistream-Response-Seal', 's')
        handler.send_header(
            'Content-Type',
            'text/event-stream' if is_stream else 'application/json',
        )
        handler.end_headers()
        handler.wfile.write(self.body)
        handler.close_connection = True

    def ask(self, raw: bytes, body: bytes) -> bytes:
        """Send a request that the server answers with this body."""
        self.body = body
        return exchange(self.entry.front_port, raw)

    def test_whole_answer(self) -> None:
        """Guard against refusing an answer that ends with its connection."""
        lookup = HEAD % b'r1' + b'Connection: close\r\n\r\n'
        head, _, body = self.ask(lookup, b'{"a": 1}').partition(b'\r\n\r\n')
        self.assertIn(b' 200 ', head[:20])
        self.assertIn(b'content-length: 8', head.lower())
        self.assertEqual(body, b'{"a": 1}')

    def test_whole_stream(self) -> None:
        """Guard against cutting a stream that ends with its connection."""
        raw = self.ask(CLOSING_GENERATION % b'g1', EVENTS)
        self.assertIn(b' 200 ', raw[:20])
        self.assertIn(b'data: b', raw)
        self.assertTrue(raw.endswith(LAST_CHUNK))

    def test_stream_that_ends_inside_an_event(self) -> None:
        """Guard against a broken stream that looks complete."""
        for length in range(len(EVENTS) // 2 + 1, len(EVENTS) - 1):
            raw = self.ask(
                CLOSING_GENERATION % b'g%d' % length, EVENTS[:length]
            )
            self.assertFalse(raw.endswith(LAST_CHUNK), EVENTS[:length])
            self.assertNotIn(b'data: b', raw)


if __name__ == '__main__':
    unittest.main()
