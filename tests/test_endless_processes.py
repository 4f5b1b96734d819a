"""Tests of processes that call a server which sends bytes without end.

Failure pattern: a faulty server sends bytes that are no answer, in a head or a
body, until the caller closes; its caller keeps them all and runs out of memory,
and the requests of other callers end with it.
"""

import socket
import threading
import unittest
from contextlib import ExitStack

from tests.builders import wait_until
from tests.byte_servers import ANSWER_HEAD, ByteServer, serve_bytes
from tests.daemon_processes import (
    MEMORY_LIMIT_MB,
    DaemonCase,
    DaemonProcess,
)
from tests.platform_builders import SERVER, build_row
from tests.platform_paths import HEAD, exchange
from tests.test_odd_entries import CLOSING_GENERATION
from wasabistream.units import BYTES_PER_MEGABYTE

MEMORY_LIMIT_BYTES = MEMORY_LIMIT_MB * BYTES_PER_MEGABYTE
CALLER_COUNT = 32
REQUEST_COUNT = 8
FAULTY_COUNT = 4
WAIT_SECONDS = 30
FILLER = b'x' * 65536
CHUNKED = ANSWER_HEAD + b'Transfer-Encoding: chunked\r\n'
EVENTS = ANSWER_HEAD + b'Content-Type: text/event-stream\r\n'
# Beginnings and what follows each of them without end.
ANSWERS = (
    (b'', FILLER),
    (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    (ANSWER_HEAD, b'X-A: ' + FILLER[:60000] + b'\r\n'),
    (ANSWER_HEAD, b'a: b\r\n' * 1000),
    (ANSWER_HEAD + b'\r\n', FILLER),
    (CHUNKED + b'\r\n', b'10000\r\n' + FILLER + b'\r\n'),
    (CHUNKED + b'\r\n', b'1\r\nx\r\n' * 1000),
    (CHUNKED + b'\r\n', b'f' * 65536),
    (CHUNKED + b'\r\n1\r\nx\r\n0\r\n', b'X-A: a\r\n' * 1000),
    (EVENTS + b'\r\n', FILLER),
    (EVENTS + b'\r\n', b': comment\n\n' * 1000),
    (EVENTS + b'Transfer-Encoding: chunked\r\n\r\n', b'10000\r\n' + FILLER),
)
LOOKUP = HEAD + b'Connection: close\r\n\r\n'


class EndlessServer:
    """Answer each connection with the next of the endless answers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def respond(self, server: ByteServer, sock: socket.socket) -> None:
        """Send one of the answers until the caller closes."""
        with self._lock:
            head, piece = ANSWERS[self._count % len(ANSWERS)]
            self._count += 1
        sock.sendall(head)
        while not server.stopped.is_set():
            sock.sendall(piece)


class EndlessProcessTest(DaemonCase):
    """Guard against a process that a faulty server ends."""

    def assert_within_memory(self, daemon: DaemonProcess) -> None:
        """Check that a process goes on and its memory kept to the limit."""
        self.assertIsNone(daemon.process.poll())
        self.assertLess(daemon.peak_memory_bytes(), MEMORY_LIMIT_BYTES)

    def test_callers_of_an_entry(self) -> None:
        """Guard against requests whose endless answers an entry keeps."""
        endless = EndlessServer()
        with ExitStack() as stack:
            servers = [
                stack.enter_context(serve_bytes(endless.respond))
                for _ in range(2 * FAULTY_COUNT)
            ]
            for service in ('desk', 'writer'):
                self.store.remove(f'servers/{service}')
            self.put_faulty_servers(servers)
            entry = self.start_entry()
            answers = self.ask_all(entry.front_port)
            self.assert_within_memory(entry)
            for server in servers:
                self.assertGreater(server.request_count, 0)
        self.assertEqual(len(answers), CALLER_COUNT * REQUEST_COUNT)
        self.assertNotIn(b'', answers)

    def test_reports_of_an_engine(self) -> None:
        """Guard against reports whose endless bodies an agent keeps."""
        with serve_bytes(EndlessServer().respond) as server:
            agent = self.start_daemon(
                'agent_daemon',
                app=f'127.0.0.1:{server.port}',
                service='writer',
            )
            wait_until(lambda: server.request_count > 2 * len(ANSWERS))
            self.assert_within_memory(agent)

    def put_faulty_servers(self, servers: list[ByteServer]) -> None:
        """List faulty servers of each service."""
        for number, server in enumerate(servers):
            row = {
                **SERVER,
                'service': ('desk', 'writer')[number % 2],
                'address': f'127.0.0.1:{server.port}',
                'cold_remaining_ms': 0,
            }
            key = f'servers/faulty-{number}'
            self.store.put(build_row(key, 20 + number, row))

    def ask_all(self, port: int) -> list[bytes]:
        """Send requests by many callers at once; return their answers."""
        answers: list[bytes] = []

        def ask(number: int) -> None:
            request = CLOSING_GENERATION if number % 2 else LOOKUP
            for attempt in range(REQUEST_COUNT):
                request_id = b'r%d-%d' % (number, attempt)
                answers.append(exchange(port, request % request_id))

        callers = [
            threading.Thread(target=ask, args=(number,), daemon=True)
            for number in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(WAIT_SECONDS)
        return answers


if __name__ == '__main__':
    unittest.main()
