"""Tests of servers that send bytes without end.

Failure patterns: interim responses, heads, bodies, trailers and events that
never end; streams that only send comments; answers that are cut on the way.
"""

import socket
import unittest
from collections.abc import Callable
from contextlib import ExitStack, closing

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.byte_servers import (
    ANSWER_HEAD,
    ByteServer,
    send_endless,
    send_once,
    serve_bytes,
)
from tests.forwarding_builders import (
    build_answer_buffers,
    build_request,
    build_route,
    build_server,
)
from wasabistream.exceptions import BackendError
from wasabistream.forwarding.interfaces import AttemptOptions, Cancellable
from wasabistream.forwarding.reply_readers import read_reply
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.routes import Route, RouteKind
from wasabistream.platform.server_clients import HttpExchange, HttpServerClient

REQUEST_ID = 'r1'
# More than the limit of one answer and what the sockets hold.
MAX_TAKEN_BYTES = 24 * 1024 * 1024
# Bytes of a head, trailer or piecewise body that is cut off early.
MAX_TAKEN_FRAMING_BYTES = 8 * 1024 * 1024
ANSWER_SECONDS = 5
CHUNKED_HEAD = ANSWER_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'
SMALL_CHUNKS = b'1\r\nx\r\n' * 1000


def _ignore(closer: Cancellable) -> None:
    """Ignore the object that would cancel an exchange."""


class ByteServerCase(unittest.TestCase):
    """Send requests to servers that answer with arbitrary bytes."""

    def open(
        self,
        server: ByteServer,
        on_connected: Callable[[Cancellable], None] = _ignore,
        route: Route | None = None,
    ) -> HttpExchange:
        """Send one request to a stand-in server and read the head."""
        backend = build_server(1)
        object.__setattr__(backend, 'address', '127.0.0.1')
        object.__setattr__(backend, 'port', server.port)
        return HttpServerClient().open(
            backend,
            build_request(route, request_id=REQUEST_ID),
            AttemptOptions(ANSWER_SECONDS),
            on_connected,
        )

    def read(self, server: ByteServer) -> Reply:
        """Send one request to a stand-in server and read its answer."""
        exchange = self.open(server)
        with ExitStack() as resources:
            resources.callback(exchange.close)
            return read_reply(
                build_server(1),
                exchange,
                REQUEST_ID,
                build_answer_buffers(),
                resources,
                lambda: None,
            )


class EndlessAnswerTest(ByteServerCase):
    """Guard against one server that takes the memory or processor of all."""

    def assert_cut(
        self, head: bytes, piece: bytes, max_bytes: int = MAX_TAKEN_BYTES
    ) -> None:
        """Check that an answer without end is cut after some bytes."""
        with serve_bytes(send_endless(head, piece)) as server:
            with self.assertRaises(BackendError):
                self.read(server)
            self.assertTrue(server.cut.wait(ANSWER_SECONDS))
            self.assertLess(server.sent_bytes, max_bytes)

    def test_chunked_body(self) -> None:
        """Guard against 800 MB of memory within 1.6 s."""
        self.assert_cut(CHUNKED_HEAD, CHUNK)

    def test_body_without_length(self) -> None:
        """Guard against 1.9 GB of memory within 1.5 s."""
        self.assert_cut(ANSWER_HEAD + b'\r\n', b'x' * 65536)

    def test_body_in_pieces_of_one_byte(self) -> None:
        """Guard against an answer that keeps the processor busy."""
        self.assert_cut(CHUNKED_HEAD, SMALL_CHUNKS, MAX_TAKEN_FRAMING_BYTES)

    def test_interim_responses(self) -> None:
        """Guard against skipping interim responses for ever."""
        self.assert_cut(
            b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100, MAX_TAKEN_FRAMING_BYTES
        )

    def test_status_line(self) -> None:
        """Guard against a status line without an end."""
        self.assert_cut(b'', b'H' * 65536, MAX_TAKEN_FRAMING_BYTES)

    def test_headers(self) -> None:
        """Guard against headers without an end."""
        self.assert_cut(
            ANSWER_HEAD, b'X-A: ' + b'a' * 60000 + b'\r\n', MAX_TAKEN_BYTES
        )

    def test_trailers(self) -> None:
        """Guard against trailers without an end, which looked complete."""
        self.assert_cut(
            CHUNKED_HEAD + b'1\r\nx\r\n0\r\n',
            b'X-A: a\r\n' * 1000,
            MAX_TAKEN_FRAMING_BYTES,
        )

    def test_all_answers_in_progress(self) -> None:
        """Guard against many long answers that together fill the memory."""
        buffers = build_answer_buffers()
        piece = b'x' * 1024 * 1024
        added_count = 0
        with self.assertRaises(BackendError):
            while True:
                with (
                    closing(buffers.open()) as first,
                    closing(buffers.open()) as second,
                ):
                    for _ in range(100):
                        first.add(piece)
                        second.add(piece)
                        added_count += 2
        self.assertLess(added_count, 26)


class CutAnswerTest(ByteServerCase):
    """Guard against a part of an answer that passes for the whole."""

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(
        body=st.binary(min_size=1, max_size=60),
        framing=st.sampled_from(('length', 'chunked', 'trailers')),
        cut_ratio=st.floats(0, 1),
    )
    def test_framings(
        self, body: bytes, framing: str, cut_ratio: float
    ) -> None:
        """Guard against a cut that looks complete in any framing."""
        whole = frame_answer(body, framing)
        raw = whole[: round(len(whole) * cut_ratio)]
        with serve_bytes(send_once(raw)) as server:
            if len(raw) == len(whole):
                self.assertEqual(self.read(server).body, body)
            else:
                with self.assertRaises(BackendError):
                    self.read(server)

    def test_ambiguous_lengths(self) -> None:
        """Guard against a body whose length parsers read differently."""
        for headers in (
            b'Content-Length: 2\r\nContent-Length: 3\r\n',
            b'Content-Length: x\r\n',
            b'Content-Length: -1\r\n',
            b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
            b'Transfer-Encoding: gzip, chunked\r\n',
        ):
            raw = ANSWER_HEAD + headers + b'\r\nabc'
            with serve_bytes(send_once(raw)) as server:
                with self.assertRaises(BackendError, msg=headers):
                    self.read(server)

    def test_interim_status_is_no_answer(self) -> None:
        """Guard against passing on 103 as the answer."""
        raw = b'HTTP/1.1 103 Early Hints\r\n\r\n' + frame_answer(b'a', 'length')
        with serve_bytes(send_once(raw)) as server:
            with self.assertRaises(BackendError):
                self.read(server)

    def test_cut_by_the_supervisor(self) -> None:
        """Guard against a part of a slow answer as a complete success.

        The supervisor shuts the socket down, which reads like the end of an
        answer without a length.
        """
        closers: list[Cancellable] = []

        def respond(server: ByteServer, sock: socket.socket) -> None:
            sock.sendall(ANSWER_HEAD + b'\r\nhalf')
            server.cut.wait(ANSWER_SECONDS)

        with serve_bytes(respond) as server:
            exchange = self.open(server, closers.append)
            self.assertEqual(exchange.read(), b'half')
            closers[0].close()
            with self.assertRaises(BackendError):
                exchange.read()
            exchange.close()
            server.cut.set()

    def test_silent_networks(self) -> None:
        """Guard against giving up a draft that its engine goes on with.

        Drafts that cannot run elsewhere were cut after two seconds without
        acknowledgements, in a cut of the network of three.
        """
        limits_ms = {}
        for resumable in (True, False):
            route = build_route(RouteKind.streaming, resumable=resumable)
            with serve_bytes(send_once(frame_answer(b'a', 'length'))) as server:
                exchange = self.open(server, route=route)
                limits_ms[resumable] = exchange._sock.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                exchange.close()
        self.assertLessEqual(limits_ms[True], 2000)
        self.assertGreaterEqual(limits_ms[False], 8000)

    def test_end_of_the_connection_ends_a_body(self) -> None:
        """Guard against refusing a sound answer without a length."""
        with serve_bytes(send_once(ANSWER_HEAD + b'\r\nwhole')) as server:
            self.assertEqual(self.read(server).body, b'whole')


def frame_answer(body: bytes, framing: str) -> bytes:
    """Return an answer with its body framed in the given way."""
    if framing == 'length':
        return ANSWER_HEAD + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    trailers = b'X-A: a\r\n' if framing == 'trailers' else b''
    return b'%s%x\r\n%s\r\n0\r\n%s\r\n' % (
        CHUNKED_HEAD,
        len(body),
        body,
        trailers,
    )
