"""Entry between a stand-in store and a stand-in backend server."""

import socket
import threading
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar

from tests.builders import wait_until
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
READINESS = b'GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


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


def build_entry(store_port: int) -> PlatformEntry:
    """Return an entry that reads a store on this machine."""
    node = {
        **NODE,
        'seeds': [],
        'platform': {'address': f'127.0.0.1:{store_port}'},
    }
    return PlatformEntry(decode_node(node), ProcessOptions('', 0))


def exchange(port: int, raw: bytes) -> bytes:
    """Send bytes and return all that comes back."""
    with socket.create_connection(
        ('127.0.0.1', port), timeout=WAIT_SECONDS
    ) as sock:
        sock.sendall(raw)
        pieces = []
        while piece := sock.recv(65536):
            pieces.append(piece)
        return b''.join(pieces)


class PlatformPathCase(unittest.TestCase):
    """Run an entry between a store and a backend server."""

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
        cls.entry = build_entry(cls.store.port)
        cls.entry.on_start()
        wait_until(lambda: cls.entry.fleet.current.servers)

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
        return exchange(self.entry.front_port, raw)

    def get(self, request_id: bytes, extra: bytes = b'') -> bytes:
        """Send one request and return the answer."""
        head = HEAD % request_id
        return self.exchange(head + extra + b'Connection: close\r\n\r\n')
