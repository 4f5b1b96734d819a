"""Tests of the whole path over the platform's adapter.

Patterns: requests that two parsers read differently, answers that belong to
another request, break off or come early.
"""

import json
import socket
import threading
import time
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar

from tests.platform_builders import CONFIGURATION, NODE, SERVER, build_row
from tests.platform_stores import StandInStore
from wasabistream.platform.entry_applications import PlatformEntry
from wasabistream.platform.node_applications import ProcessOptions
from wasabistream.platform.node_files import decode_node

WAIT_SECONDS = 10
HEAD = (
    b'GET /chat/desk/%%2Fa?b=%%20 HTTP/1.1\r\nHost: host.example\r\n'
    b'Wasabistream-Request-Attempt-Id: %s\r\n'
    b'Wasabistream-Deadline-Remaining: 800\r\n'
)


class BackendHandler(BaseHTTPRequestHandler):
    """Answer requests as the test says."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Answer one request."""
        backend: Any = self.server
        backend.seen.append((self.requestline, dict(self.headers)))
        backend.act(self)

    def log_message(self, *arguments: Any) -> None:
        """Write nothing."""


class Backend(ThreadingHTTPServer):
    """Stand in for a backend server."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), BackendHandler)
        self.seen: list[tuple[str, dict[str, str]]] = []
        self.act: Callable[[BackendHandler], None] = answer
        threading.Thread(target=self.serve_forever, daemon=True).start()


def answer(
    handler: BackendHandler,
    *,
    body: bytes = b'{}',
    length: int | None = None,
    request_id: str = '',
    seal: str = 's',
) -> None:
    """Answer with these parts."""
    names = {key.lower(): text for key, text in handler.headers.items()}
    echoed = request_id or names['wasabistream-request-attempt-id']
    handler.send_response(200)
    handler.send_header('Wasabistream-Request-Attempt-Id', echoed)
    if seal:
        handler.send_header('Wasabistream-Response-Seal', seal)
    handler.send_header('Content-Length', str(length or len(body)))
    handler.end_headers()
    handler.wfile.write(body)
    handler.close_connection = True


class PlatformPathTest(unittest.TestCase):
    """Guard against answers and requests that are changed on the way."""

    store: ClassVar[StandInStore]
    backend: ClassVar[Backend]
    entry: ClassVar[PlatformEntry]

    @classmethod
    def setUpClass(cls) -> None:
        """Start a store, a backend server and an entry."""
        cls.store = StandInStore()
        cls.backend = Backend()
        port = cls.backend.server_address[1]
        server = {**SERVER, 'service': 'desk', 'address': f'127.0.0.1:{port}'}
        cls.store.put(build_row('op/config', 2, CONFIGURATION))
        cls.store.put(build_row('servers/s1', 3, server))
        node = {
            **NODE,
            'seeds': [],
            'platform': {'address': f'127.0.0.1:{cls.store.port}'},
        }
        cls.entry = PlatformEntry(decode_node(node), ProcessOptions('', 0))
        cls.entry.on_start()
        deadline = time.monotonic() + WAIT_SECONDS
        while not cls.entry.fleet.current.servers:
            if time.monotonic() > deadline:
                raise TimeoutError('entry has no servers')
            time.sleep(0.02)

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop all."""
        cls.entry.on_stop()
        cls.backend.shutdown()
        cls.backend.server_close()
        cls.store.stop()

    def setUp(self) -> None:
        """Let the backend server answer properly."""
        self.backend.act = answer
        self.backend.seen.clear()

    def exchange(self, raw: bytes) -> bytes:
        """Send bytes and return all that comes back."""
        with socket.create_connection(
            ('127.0.0.1', self.entry.front_port), timeout=WAIT_SECONDS
        ) as sock:
            sock.sendall(raw)
            pieces = []
            while piece := sock.recv(65536):
                pieces.append(piece)
            return b''.join(pieces)

    def get(self, request_id: bytes, extra: bytes = b'') -> bytes:
        """Send one request and return the answer."""
        head = HEAD % request_id
        return self.exchange(head + extra + b'Connection: close\r\n\r\n')

    def test_request_line_is_unchanged(self) -> None:
        """Guard against a path that is decoded or normalised."""
        raw = self.get(b'r1')
        self.assertIn(b'200 OK', raw)
        self.assertIn(b'wasabistream-response-seal: s', raw.lower())
        line, headers = self.backend.seen[0]
        self.assertEqual(line, 'GET /chat/desk/%2Fa?b=%20 HTTP/1.1')
        lower = {name.lower(): text for name, text in headers.items()}
        self.assertEqual(lower['wasabistream-expect-replica'], 's1')

    def test_system_headers_of_callers_are_dropped(self) -> None:
        """Guard against a caller that takes another organisation's name."""
        self.get(
            b'r2',
            b'Wasabistream-Tenant: other\r\nKv-From: a/b\r\n'
            b'Wasabistream-Hold: h\r\nAuthorization: Bearer key-1\r\n',
        )
        headers = {
            name.lower(): text for name, text in self.backend.seen[0][1].items()
        }
        self.assertEqual(headers['wasabistream-tenant'], 'org-1')
        self.assertFalse(
            {'kv-from', 'wasabistream-hold', 'authorization'} & set(headers)
        )

    def test_unclear_requests(self) -> None:
        """Guard against requests that are smuggled inside others."""
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
        self.assertEqual(self.backend.seen, [])

    def test_answer_of_another_request(self) -> None:
        """Guard against an answer that belongs to another request."""
        self.backend.act = lambda handler: answer(handler, request_id='x')
        self.assertIn(b' 502 ', self.get(b'r4'))

    def test_answer_that_breaks_off(self) -> None:
        """Guard against half an answer that looks whole."""
        self.backend.act = lambda handler: answer(handler, length=50)
        self.assertIn(b' 502 ', self.get(b'r5'))

    def test_answer_without_seal(self) -> None:
        """Guard against a success that no server has signed."""
        self.backend.act = lambda handler: answer(handler, seal='')
        self.assertIn(b' 502 ', self.get(b'r6'))

    def test_unknown_host_and_key(self) -> None:
        """Guard against requests that no configuration allows."""
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
        """Guard against a connection that is closed after a request."""
        raw = self.exchange(
            HEAD % b'r8' + b'\r\n' + HEAD % b'r9' + b'Connection: close\r\n\r\n'
        )
        self.assertEqual(raw.count(b'200 OK'), 2)

    def test_chunked_body_with_trailers(self) -> None:
        """Guard against trailers that are taken for a request."""
        raw = self.exchange(
            HEAD % b'r10'
            + b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
            + b'5\r\nhello\r\n0\r\nX-Trailer: a\r\n\r\n'
        )
        self.assertEqual(raw.count(b'HTTP/1.1'), 1)
        self.assertIn(b'200 OK', raw)

    def test_readiness(self) -> None:
        """Guard against an entry that is ready without a configuration."""
        with socket.create_connection(
            ('127.0.0.1', self.entry.ready_port), timeout=WAIT_SECONDS
        ) as sock:
            sock.sendall(
                b'GET /-/readiness HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\n\r\n'
            )
            self.assertIn(b'200', sock.recv(65536))

    def test_bodies_are_json(self) -> None:
        """Guard against a body that is changed on the way back."""
        body = json.dumps({'booked': True}).encode()
        self.backend.act = lambda handler: answer(handler, body=body)
        self.assertTrue(self.get(b'r11').endswith(body))
