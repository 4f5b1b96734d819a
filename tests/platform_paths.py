"""Test case with an entry, a stand-in store and a stand-in backend server."""

import json
import socket
import threading
import unittest
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar

from tests.builders import wait_until
from tests.platform_builders import CONFIGURATION, NODE, SERVER, build_row
from wasabistream.platform.entry_applications import PlatformEntry
from wasabistream.platform.node_applications import ProcessOptions
from wasabistream.platform.node_files import decode_node
from wasabistream_tools.soak.stores import StandInStore

WAIT_SECONDS = 10
LINK_PORT: int = NODE['internal_ports'][0]
HEAD = (
    b'GET /chat/desk/%%2Fa?b=%%20 HTTP/1.1\r\nHost: host.example\r\n'
    b'Wasabistream-Request-Attempt-Id: %s\r\n'
    b'Wasabistream-Deadline-Remaining: 800\r\n'
)
READINESS_PROBE = (
    b'GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
)


class BackendHandler(BaseHTTPRequestHandler):
    """Record each request and answer it as the test sets."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Answer one request."""
        backend: Any = self.server
        backend.received_requests.append((self.requestline, dict(self.headers)))
        backend.respond(self)

    def do_POST(self) -> None:
        """Read the body and answer."""
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        self.do_GET()

    def log_message(self, *arguments: Any) -> None:
        """Suppress the log of the HTTP server."""


class StandInBackend(ThreadingHTTPServer):
    """Stand-in for a backend server; `respond` writes its answers."""

    daemon_threads = True

    def __init__(self, address: str = '127.0.0.1', port: int = 0) -> None:
        super().__init__((address, port), BackendHandler)
        self.received_requests: list[tuple[str, dict[str, str]]] = []
        self.respond: Callable[[BackendHandler], None] = answer
        threading.Thread(target=self.serve_forever, daemon=True).start()


def answer(
    handler: BackendHandler,
    *,
    body: bytes = b'{}',
    length: int | None = None,
    request_id: str = '',
    seal: str = 's',
    extra_headers: Mapping[str, str] | None = None,
) -> None:
    """Answer with status 200 and these parts."""
    names = {key.lower(): text for key, text in handler.headers.items()}
    echoed = request_id or names['wasabistream-request-attempt-id']
    handler.send_response(200)
    handler.send_header('Wasabistream-Request-Attempt-Id', echoed)
    if seal:
        handler.send_header('Wasabistream-Response-Seal', seal)
    for name, text in (extra_headers or {}).items():
        handler.send_header(name, text)
    handler.send_header('Content-Length', str(length or len(body)))
    handler.end_headers()
    handler.wfile.write(body)
    handler.close_connection = True


def answer_report(handler: BackendHandler, **fields: Any) -> None:
    """Answer a call for the report of an engine."""
    report = {'running': 0, 'waiting': 0, 'kv_used': 0, 'kv_total': 30000}
    body = json.dumps({**report, **fields}).encode()
    answer(handler, body=body, request_id='report')


def build_entry(
    store_port: int,
    control_port: int = 0,
    seed_port: int = 0,
    link_port: int = LINK_PORT,
) -> PlatformEntry:
    """Return an entry that reads a store on this machine.

    Entries that link to each other need fixed control ports.
    """
    listen = {**NODE['listen'], 'control': f'127.0.0.1:{control_port}'}
    node = {
        **NODE,
        'listen': listen,
        'seeds': [f'127.0.0.1:{seed_port}'] if seed_port else [],
        'internal_ports': [link_port, link_port],
        'platform': {'address': f'127.0.0.1:{store_port}'},
    }
    return PlatformEntry(decode_node(node), ProcessOptions('', 0))


def exchange(port: int, raw: bytes) -> bytes:
    """Send bytes and return all bytes received until the end."""
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
    backend: ClassVar[StandInBackend]
    entry: ClassVar[PlatformEntry]

    @classmethod
    def setUpClass(cls) -> None:
        """Start a store, a backend server and an entry."""
        cls.store = StandInStore()
        cls.backend = StandInBackend()
        port = cls.backend.server_address[1]
        server = {**SERVER, 'service': 'desk', 'address': f'127.0.0.1:{port}'}
        cls.store.put(build_row('op/config', 2, CONFIGURATION))
        cls.store.put(build_row('servers/s1', 3, server))
        cls.entry = build_entry(cls.store.port)
        cls.entry.on_start()
        wait_until(lambda: cls.entry.fleet.current.servers)

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the entry, the backend server and the store."""
        cls.entry.on_stop()
        cls.backend.shutdown()
        cls.backend.server_close()
        cls.store.stop()

    def setUp(self) -> None:
        """Make the backend server answer correctly."""
        self.backend.respond = answer
        self.backend.received_requests.clear()

    def add_backend(self) -> StandInBackend:
        """Return a second backend server, which the entry lists."""
        backend = StandInBackend()
        self.addCleanup(backend.server_close)
        self.addCleanup(backend.shutdown)
        port = backend.server_address[1]
        row = {**SERVER, 'service': 'desk', 'address': f'127.0.0.1:{port}'}
        self.store.put(build_row('servers/s2', 9, row))
        wait_until(lambda: len(self.entry.fleet.current.servers) == 2)
        return backend

    def exchange(self, raw: bytes) -> bytes:
        """Send bytes and return all bytes received until the end."""
        return exchange(self.entry.front_port, raw)

    def get(self, request_id: bytes, extra: bytes = b'') -> bytes:
        """Send one request to the entry and return the answer."""
        head = HEAD % request_id
        return self.exchange(head + extra + b'Connection: close\r\n\r\n')
