"""Tests of the clients of engines, plain services and the store.

Failure patterns: answers without end, in drips, cut off, nested too deeply,
or sent a second time on a connection that is in use again.
"""

import socket
import time
import unittest
from collections.abc import Callable

from tests.byte_servers import (
    ByteServer,
    send_endless,
    send_once,
    send_until,
    serve_bytes,
)
from wasabistream.call_runners import CallRunner
from wasabistream.engines import make_engine_client
from wasabistream.exceptions import (
    BackendError,
    BackendTimeoutError,
    StoreError,
)
from wasabistream.forwarding.endpoints import Endpoint
from wasabistream.platform.engine_clients import (
    REPORT_TIMEOUT_SECONDS,
    EngineClient,
)
from wasabistream.platform.store_clients import StoreClient
from wasabistream.requests import Call, ServiceAnswer
from wasabistream.service_clients import NoAnswerError, ServiceClient

OK_HEAD = b'HTTP/1.1 200 OK\r\n'
REPORT = (
    b'{"running": 1, "waiting": 0, "kv_used": 5, "kv_total": 9, "runs": []}'
)
NESTED = b'[' * 100000
MAX_TAKEN_BYTES = 24 * 1024 * 1024
LATE_COPY_SECONDS = 0.1
STORE_TIMEOUT_SECONDS = 2.0


def frame(body: bytes) -> bytes:
    """Return a whole answer with this body."""
    return OK_HEAD + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)


def build_call(request_id: str) -> Call:
    """Return a repeatable call with a deadline of some seconds."""
    return Call(
        request_id=request_id,
        organisation='org',
        service='desk',
        method='GET',
        path='/look',
        headers={},
        body=b'',
        deadline_seconds=5,
        document_revision=1,
        repeatable=True,
    )


class ClientLimitTest(unittest.TestCase):
    """Guard a process against the servers that it calls."""

    def assert_cut(
        self,
        respond: Callable[[ByteServer, socket.socket], None],
        call: Callable[[int], object],
        error_type: type[Exception],
    ) -> float:
        """Check that a call fails early; return its duration in seconds."""
        with serve_bytes(respond) as server:
            started_seconds = time.monotonic()
            with self.assertRaises(error_type):
                call(server.port)
            self.assertLess(server.sent_bytes, MAX_TAKEN_BYTES)
            return time.monotonic() - started_seconds

    def read_report(self, port: int) -> object:
        """Read the report of an engine."""
        return EngineClient(Endpoint('127.0.0.1', port)).state()

    def read_store(self, port: int) -> object:
        """Read all items of a store."""
        return StoreClient(
            Endpoint('127.0.0.1', port), STORE_TIMEOUT_SECONDS
        ).read_all('')

    def test_reports(self) -> None:
        """Guard against an engine's report without an end."""
        for head, piece in (
            (OK_HEAD + b'\r\n', b' ' * 65536),
            (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
        ):
            self.assert_cut(
                send_endless(head, piece), self.read_report, BackendError
            )

    def test_dripping_report(self) -> None:
        """Guard against a report that never ends, byte by byte."""
        seconds = self.assert_cut(
            send_endless(OK_HEAD + b'\r\n', b' ', 0.05),
            self.read_report,
            BackendError,
        )
        self.assertLess(seconds, REPORT_TIMEOUT_SECONDS * 4)

    def test_engine_that_does_not_answer(self) -> None:
        """Guard against mistaking a busy engine for one that has ended."""
        for head in (b'', OK_HEAD, OK_HEAD + b'Content-Length: 9\r\n\r\n{'):
            self.assert_cut(
                send_endless(head, b'', REPORT_TIMEOUT_SECONDS),
                self.read_report,
                BackendTimeoutError,
            )
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        try:
            self.read_report(port)
        except BackendError as error:
            self.assertNotIsInstance(error, BackendTimeoutError)
        else:
            self.fail('the port is in use')

    def test_deeply_nested_json(self) -> None:
        """Guard against an error that ends the thread of the caller."""
        self.assert_cut(
            send_once(frame(NESTED)), self.read_report, BackendError
        )
        self.assert_cut(send_once(frame(NESTED)), self.read_store, StoreError)

    def test_store_without_end(self) -> None:
        """Guard against an answer of the store without an end."""
        self.assert_cut(
            send_endless(OK_HEAD + b'\r\n', b' ' * 65536),
            self.read_store,
            StoreError,
        )

    def test_late_copy_of_a_report(self) -> None:
        """Guard against a late report that passes for the answer to a move.

        The move looked done without a handle, and its stream was lost.
        """

        def respond(server: ByteServer, sock: socket.socket) -> None:
            if server.request_count > 1:
                time.sleep(LATE_COPY_SECONDS * 2)
                sock.sendall(frame(b'{"handle": "h1", "create_rev": 3}'))
                return
            sock.sendall(frame(REPORT))
            time.sleep(LATE_COPY_SECONDS)
            sock.sendall(frame(REPORT))

        with serve_bytes(respond) as server:
            engine = EngineClient(Endpoint('127.0.0.1', server.port))
            engine.state()
            moved = engine.copy_run('r1', '10.0.0.1:8000', final=True)
            self.assertEqual((moved.copied, moved.handle), (True, 'h1'))

    def test_late_copy_of_a_page(self) -> None:
        """Guard against a page of the store that is read twice."""
        page = (
            b'{"items": [{"key": "a", "value": "", "revision": 1}],'
            b' "has_more": true, "current_rev": 3}'
        )

        def respond(server: ByteServer, sock: socket.socket) -> None:
            sock.sendall(frame(page))

        self.assert_cut(respond, self.read_store, StoreError)


class ServiceAnswerTest(unittest.TestCase):
    """Guard against calls that get a part of an answer or another's."""

    def test_cut_answer(self) -> None:
        """Guard against a cut answer of a booking as a complete success."""
        for raw in (
            OK_HEAD + b'Content-Length: 9\r\n\r\nhalf',
            OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
            OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n',
            OK_HEAD,
        ):
            with serve_bytes(send_once(raw)) as server:
                with self.assertRaises(NoAnswerError, msg=raw):
                    self.send(server)

    def test_endless_answer(self) -> None:
        """Guard against an answer that fills the memory of the agent."""
        respond = send_endless(OK_HEAD + b'\r\n', b'x' * 65536)
        with serve_bytes(respond) as server:
            with self.assertRaises(NoAnswerError):
                self.send(server)
            self.assertLess(server.sent_bytes, MAX_TAKEN_BYTES)

    def test_late_copy_of_an_answer(self) -> None:
        """Guard against the answer to an earlier call on a kept connection."""

        def respond(server: ByteServer, sock: socket.socket) -> None:
            own_count = server.request_count
            sock.sendall(frame(b'answer %d' % own_count))
            if own_count == 1:
                time.sleep(LATE_COPY_SECONDS)
                sock.sendall(frame(b'answer 1'))

        with serve_bytes(respond) as server:
            runner = CallRunner(f'http://127.0.0.1:{server.port}', 2, None)  # type: ignore[arg-type]
            bodies = []
            for number in (1, 2):
                replies: list[object] = []
                runner.call(
                    _RecordingLink(replies),  # type: ignore[arg-type]
                    build_call(f'r{number}'),
                )
                while not replies:
                    time.sleep(0.001)
                reply = replies[0]
                assert isinstance(reply, ServiceAnswer)
                bodies.append(reply.body)
            runner.stop()
        self.assertEqual(bodies, [b'answer 1', b'answer 2'])

    def test_answer_ends_at_the_deadline(self) -> None:
        """Guard against a part of an answer of a service that stops then.

        Services get the header with the caller's deadline.
        """
        raw = OK_HEAD + b'\r\nfirst part'
        deadline_seconds = time.monotonic() + 1
        with serve_bytes(send_until(raw, deadline_seconds - 0.02)) as server:
            with self.assertRaises(NoAnswerError):
                self.send(server, deadline_seconds)

    def test_service_crashes(self) -> None:
        """Guard against a part of an answer of a service that is gone."""

        def respond(server: ByteServer, sock: socket.socket) -> None:
            sock.sendall(OK_HEAD + b'\r\nfirst part')
            sock.shutdown(socket.SHUT_WR)
            server.stop()

        with self.assertRaises(NoAnswerError):
            self.send(ByteServer(respond))

    def test_answer_ends_before_the_deadline(self) -> None:
        """Guard against refusing an answer that is whole in time."""
        raw = OK_HEAD + b'\r\nwhole'
        deadline_seconds = time.monotonic() + 1
        with serve_bytes(send_until(raw, deadline_seconds - 0.5)) as server:
            answer = self.send(server, deadline_seconds)
        self.assertEqual(answer.body, b'whole')

    def send(
        self, server: ByteServer, deadline_seconds: float | None = None
    ) -> ServiceAnswer:
        """Send one call to a stand-in service."""
        client = ServiceClient(f'http://127.0.0.1:{server.port}')
        return client.send(
            build_call('r1'), deadline_seconds or time.monotonic() + 5, str
        )


class EngineStreamLimitTest(unittest.TestCase):
    """Guard an agent against the stream of its engine."""

    def read(self, server: ByteServer) -> None:
        """Read a stream to its end."""
        client = make_engine_client(
            'standard', f'http://127.0.0.1:{server.port}'
        )
        list(client.resume('s1', 0))

    def test_event_without_end(self) -> None:
        """Guard against buffering a line without an end."""
        respond = send_endless(OK_HEAD + b'\r\ndata: ', b'x' * 65536)
        with serve_bytes(respond) as server:
            with self.assertRaises(BackendError):
                self.read(server)
            self.assertLess(server.sent_bytes, MAX_TAKEN_BYTES)

    def test_events_of_an_unexpected_shape(self) -> None:
        """Guard against an error that ends the thread of a generation."""
        for event in (b'{}', b'[]', b'7', b'{"choices": []}', NESTED):
            raw = OK_HEAD + b'\r\ndata: ' + event + b'\n\n'
            with serve_bytes(send_once(raw)) as server:
                with self.assertRaises(BackendError, msg=event):
                    self.read(server)


class _RecordingLink:
    """A link that records what is sent over it."""

    def __init__(self, sent: list[object]) -> None:
        self._sent = sent

    def send(self, message: object) -> None:
        """Record a message."""
        self._sent.append(message)
