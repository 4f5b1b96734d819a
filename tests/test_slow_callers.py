"""Tests of callers that send their requests too slowly.

Failure pattern: callers that send a byte now and then and so hold all threads
of an entry.
"""

import socket
import threading
import time
import unittest
from contextlib import ExitStack
from unittest.mock import patch

from cheroot.server import HTTPRequest

from wasabistream.forwarding.caller_limits import CallerLimits
from wasabistream.forwarding.requests import Reply
from wasabistream.http_servers import ApiServer, HttpAnswer, HttpRequest
from wasabistream.platform.ingress_servers import HttpCaller, IngressServer

WAIT_SECONDS = 8
DRIP_SECONDS = 0.1
# More than the threads of the servers.
SLOW_COUNT = 12
ANSWER_SECONDS = 2
WHOLE_HEAD = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
HEAD = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n'
LIMITS = CallerLimits(
    max_header_bytes=16384,
    max_body_bytes=1024,
    header_timeout_seconds=0.3,
    idle_timeout_seconds=0,
)


class SlowCallerTest(unittest.TestCase):
    """Guard an entry's threads against callers that never finish."""

    def drip(self, port: int, first: bytes, piece: bytes) -> bytes:
        """Send bytes slowly until the server ends; return its answer."""
        with socket.create_connection(('127.0.0.1', port)) as sock:
            sock.settimeout(DRIP_SECONDS)
            sock.sendall(first)
            for _ in range(int(WAIT_SECONDS / DRIP_SECONDS)):
                try:
                    received = sock.recv(65536)
                except TimeoutError:
                    sock.sendall(piece)
                except ConnectionError:
                    return b''
                else:
                    return received
        self.fail('the server waits for ever')

    def test_entry(self) -> None:
        """Guard the platform's entry against slow heads and bodies."""
        bodies: list[bytes] = []

        def record(request: HTTPRequest, body: bytes) -> None:
            bodies.append(body)
            HttpCaller(request, '').reply(Reply(200))

        server = IngressServer('127.0.0.1', 0, record, 4)
        server.set_limits(LIMITS)
        server.timeout = 1
        server.run_in_thread('front')
        self.addCleanup(server.stop_within, 1)
        self.assertNotIn(b' 200 ', self.drip(server.port, HEAD, b'X-A: a\r\n'))
        with patch('wasabistream.body_readers.BODY_LIMIT_SECONDS', 0.3):
            answer = self.drip(server.port, HEAD + b'\r\n', b'x')
        self.assertIn(b' 408 ', answer)
        self.assertEqual(bodies, [])

    def test_own_interface(self) -> None:
        """Guard the product's entry against slow heads."""
        called = threading.Event()

        def answer(request: HttpRequest, take: object) -> HttpAnswer:
            called.set()
            return HttpAnswer(200)

        server = ApiServer('127.0.0.1', 0, answer, 2)
        server.run_in_thread()
        self.addCleanup(server.stop)
        with patch('wasabistream.http_servers.HEAD_LIMIT_SECONDS', 0.3):
            received = self.drip(server.port, HEAD, b'X-A: a\r\n')
        self.assertNotIn(b' 200 ', received)
        self.assertFalse(called.is_set())

    def assert_answers_others(self, port: int) -> None:
        """Check that a whole request is answered beside slow heads."""
        with ExitStack() as stack:
            callers = [
                stack.enter_context(
                    socket.create_connection(('127.0.0.1', port))
                )
                for _ in range(SLOW_COUNT)
            ]
            for caller in callers:
                caller.sendall(HEAD)
            time.sleep(DRIP_SECONDS)
            sock = stack.enter_context(
                socket.create_connection(('127.0.0.1', port))
            )
            sock.settimeout(ANSWER_SECONDS)
            sock.sendall(WHOLE_HEAD)
            self.assertIn(b' 200 ', sock.recv(65536))
            callers[0].sendall(b'Connection: close\r\n\r\n' + b'b' * 900)
            callers[0].settimeout(ANSWER_SECONDS)
            self.assertIn(b' 200 ', callers[0].recv(65536))

    def test_threads_of_an_entry(self) -> None:
        """Guard against slow heads that occupy all threads of an entry."""
        server = IngressServer(
            '127.0.0.1',
            0,
            lambda request, body: HttpCaller(request, '').reply(Reply(200)),
            4,
        )
        server.run_in_thread('front')
        self.addCleanup(server.stop_within, 1)
        self.assert_answers_others(server.port)

    def test_threads_of_own_interface(self) -> None:
        """Guard against the same on the product's own interface."""
        server = ApiServer(
            '127.0.0.1', 0, lambda request, take: HttpAnswer(200), 2
        )
        server.run_in_thread()
        self.addCleanup(server.stop)
        self.assert_answers_others(server.port)
