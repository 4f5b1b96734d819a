"""Tests of requests from the caller to the backend server and back.

Failures: requests that two parsers read differently; answers that belong to
another request, break off or come late.
"""

import json
import logging
import time

from tests.platform_paths import (
    HEAD,
    READINESS_PROBE,
    BackendHandler,
    PlatformPathCase,
    answer,
    exchange,
)


class PlatformPathTest(PlatformPathCase):
    """Guard against answers and requests that are changed on the way."""

    def test_request_line_is_unchanged(self) -> None:
        """Guard against a path that is decoded or normalised on the way."""
        raw = self.get(b'r1')
        self.assertIn(b'200 OK', raw)
        self.assertIn(b'wasabistream-response-seal: s', raw.lower())
        line, headers = self.backend.received_requests[0]
        self.assertEqual(line, 'GET /chat/desk/%2Fa?b=%20 HTTP/1.1')
        lower = {name.lower(): text for name, text in headers.items()}
        self.assertEqual(lower['wasabistream-expect-replica'], 's1')

    def test_system_headers_of_callers_are_dropped(self) -> None:
        """Guard against a caller that poses as another organisation."""
        self.get(
            b'r2',
            b'Wasabistream-Tenant: other\r\nKv-From: a/b\r\n'
            b'Wasabistream-Hold: h\r\nAuthorization: Bearer key-1\r\n',
        )
        headers = {
            name.lower(): text
            for name, text in self.backend.received_requests[0][1].items()
        }
        self.assertEqual(headers['wasabistream-tenant'], 'org-1')
        self.assertFalse(
            {'kv-from', 'wasabistream-hold', 'authorization'} & set(headers)
        )

    def test_ambiguous_requests(self) -> None:
        """Guard against request smuggling by ambiguous lengths and headers."""
        for extra in (
            b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
            b'Content-Length: 5\r\nContent-Length: 6\r\n',
            b'Content-Length: +5\r\n',
            b'Host: other.example\r\n',
            b'Content-Length : 5\r\n',
            b' folded: yes\r\n',
        ):
            raw = self.exchange(HEAD % b'r3' + extra + b'\r\nhello')
            self.assertTrue(raw.startswith(b'HTTP/1.1 400'), extra)
        self.assertEqual(self.backend.received_requests, [])

    def test_control_characters(self) -> None:
        """Guard against control characters in request lines and headers.

        Servers read them differently, and the client library raised an error
        for such a path that nothing handled.
        """
        paths = (b'/chat/desk/\x00', b'/chat/desk/\x7f', b'/chat/desk/a\tb')
        for path in paths:
            raw = HEAD.replace(b'/chat/desk/%%2Fa?b=%%20', path) % b'r12'
            with self.assertNoLogs(level=logging.ERROR):
                received = self.exchange(raw + b'Connection: close\r\n\r\n')
            self.assertTrue(received.startswith(b'HTTP/1.1 400'), path)
        for extra in (b'X-A: a\x00b\r\n', b'X-A: a\rb\r\n'):
            with self.assertNoLogs(level=logging.ERROR):
                received = self.exchange(HEAD % b'r13' + extra + b'\r\n')
            self.assertTrue(received.startswith(b'HTTP/1.1 400'), extra)
        self.assertEqual(self.backend.received_requests, [])

    def test_answer_of_another_request(self) -> None:
        """Guard against passing on the answer to another request."""
        self.backend.respond = lambda handler: answer(handler, request_id='x')
        self.assertIn(b' 502 ', self.get(b'r4'))

    def test_truncated_answer(self) -> None:
        """Guard against a truncated answer that looks complete."""
        self.backend.respond = lambda handler: answer(handler, length=50)
        self.assertIn(b' 502 ', self.get(b'r5'))

    def test_late_answer_of_only_server(self) -> None:
        """Guard against giving up a request although no other server is left.

        An answer later than the route's target latency once made the entry
        cut the request to try another server, of which there was none.
        """

        def answer_late(handler: BackendHandler) -> None:
            time.sleep(0.4)
            answer(handler)

        self.backend.respond = answer_late
        self.assertIn(b' 200 OK', self.get(b'r14'))

    def test_unsealed_answer(self) -> None:
        """Guard against passing on a success without the seal of a server."""
        self.backend.respond = lambda handler: answer(handler, seal='')
        self.assertIn(b' 502 ', self.get(b'r6'))

    def test_unknown_host_and_key(self) -> None:
        """Guard against serving a host or key that is not configured."""
        raw = HEAD % b'r7'
        unknown_host = raw.replace(b'host.example', b'none.example')
        self.assertIn(
            b' 404 ', self.exchange(unknown_host + b'Connection: close\r\n\r\n')
        )
        no_key = raw.replace(b'/chat/desk', b'/chat/other')
        self.assertIn(
            b' 401 ', self.exchange(no_key + b'Connection: close\r\n\r\n')
        )

    def test_kept_connection_serves_again(self) -> None:
        """Guard against closing a keep-alive connection after a request."""
        raw = self.exchange(
            HEAD % b'r8' + b'\r\n' + HEAD % b'r9' + b'Connection: close\r\n\r\n'
        )
        self.assertEqual(raw.count(b'200 OK'), 2)

    def test_chunked_body_with_trailers(self) -> None:
        """Guard against trailers that are parsed as the next request."""
        raw = self.exchange(
            HEAD % b'r10'
            + b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
            + b'5\r\nhello\r\n0\r\nX-Trailer: a\r\n\r\n'
        )
        self.assertEqual(raw.count(b'HTTP/1.1'), 1)
        self.assertIn(b'200 OK', raw)

    def test_banned_part_of_a_prompt(self) -> None:
        """Guard against parts that are decoded wrongly and never refused."""
        self.entry.poison_parts.adopt_ban('5c1e07a2', 0, 0)
        self.addCleanup(self.entry.poison_parts.record_answer, ['5c1e07a2'], -1)
        parts = b'Wasabistream-Prompt-Prefix: 91bd:9,5C1E07A2:800,e440:250\r\n'
        self.assertIn(b' 503 ', self.get(b'r12', parts))
        self.assertEqual(self.backend.received_requests, [])
        own_part = b'Wasabistream-Prompt-Prefix: 91bd:9,5c1e07a2:250\r\n'
        self.assertIn(b' 200 ', self.get(b'r13', own_part))

    def test_readiness(self) -> None:
        """Guard against an entry that never becomes ready."""
        raw = exchange(self.entry.ready_port, READINESS_PROBE)
        self.assertIn(b'200', raw)

    def test_bodies_are_json(self) -> None:
        """Guard against a body that is changed on the way back."""
        body = json.dumps({'booked': True}).encode()
        self.backend.respond = lambda handler: answer(handler, body=body)
        self.assertTrue(self.get(b'r11').endswith(body))
