"""HTTP server for the caller API, operator pages and stand-ins, on cheroot."""

import json
import logging
import os
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cheroot.server import Gateway, HTTPRequest

from wasabistream.answers import (
    error_body,
    http_head,
    reason_phrase,
    retry_after_field,
    write_body,
)
from wasabistream.body_readers import discard_body, read_body
from wasabistream.caller_connections import CallerConnection
from wasabistream.exceptions import RequestError
from wasabistream.memory_budgets import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    MemoryBudget,
    MemoryReservation,
)
from wasabistream.outcomes import Outcome
from wasabistream.read_deadlines import read_deadlines
from wasabistream.stopping.draining_servers import DrainingServer
from wasabistream.stopping.open_requests import describe_caller

logger = logging.getLogger(__name__)

# Longest wait for the next bytes of a request.
REQUEST_TIMEOUT_SECONDS = 10
# Time for the head of a request, from when its connection is idle.
HEAD_LIMIT_SECONDS = 20
# Length of the listen queue of the socket.
LISTEN_BACKLOG_COUNT = 1000
BUSY_STATUS = 503
BUSY_RETRY_SECONDS = 1
DRAINING_CODE = 'draining'


def ignore_id(request_id: str) -> None:
    """Take an id that nobody asks for."""


@dataclass(frozen=True)
class HttpRequest:
    """Hold one parsed HTTP request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    # Names the request among those in progress.
    record_id: Callable[[str], None] = field(
        default=ignore_id, repr=False, compare=False
    )


@dataclass(frozen=True)
class HttpAnswer:
    """Hold one complete HTTP answer."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: dict[str, str] = field(default_factory=dict)


# Returns a duplicate of the socket of the request, which the handler must close.
# The server then sends no answer on the connection itself.
TakeSocket = Callable[[], socket.socket]
# Returns an answer, or None if it took the socket and answers there.
RequestHandler = Callable[[HttpRequest, TakeSocket], HttpAnswer | None]


class TakenSocket(socket.socket):
    """Free the memory of a request once its connection is closed."""

    def __init__(self, descriptor: int, reservation: MemoryReservation) -> None:
        super().__init__(fileno=descriptor)
        self._reservation = reservation

    def close(self) -> None:
        """Close the socket and free the memory."""
        super().close()
        self._reservation.release()


class RequestGateway(Gateway):
    """Pass each request to the handler of the server."""

    def respond(self) -> None:
        """Answer one request."""
        with self.req.server.memory_budget.open_body() as reservation:
            try:
                body = read_body(self.req, reservation)
            except RequestError as error:
                self._refuse(error)
                return
            requests_in_progress = self.req.server.requests_in_progress
            requests_in_progress.record_id(
                self.req.conn, describe_caller(self.req.conn)
            )
            answer = self.req.server.handler(
                self._build_request(body),
                partial(self._take_socket, reservation),
            )
            if answer is not None:
                self._write_answer(answer)

    def _refuse(self, error: RequestError) -> None:
        # The rest of the body would be parsed as the next request.
        self.req.close_connection = True
        server = self.req.server
        outcome = server.refusal_outcome(self._build_request(b''))
        # A server that stops ends the reading of bodies itself.
        if server.is_ending:
            answer = build_draining_answer(outcome)
        else:
            answer = build_error_answer(
                error.status, error.reason, error.code, outcome
            )
        self._write_answer(answer)
        discard_body(self.req, error)

    def _build_request(self, body: bytes) -> HttpRequest:
        return HttpRequest(
            method=self.req.method.decode('latin-1'),
            path=self.req.path.decode('latin-1'),
            query=(self.req.qs or b'').decode('latin-1'),
            headers={
                name.decode('latin-1').lower(): text.decode('latin-1')
                for name, text in self.req.inheaders.items()
            },
            body=body,
            record_id=partial(
                self.req.server.requests_in_progress.record_id, self.req.conn
            ),
        )

    def _write_answer(self, answer: HttpAnswer) -> None:
        phrase = reason_phrase(answer.status)
        self.req.status = f'{answer.status} {phrase}'.encode()
        self.req.outheaders = [
            (b'Content-Type', answer.content_type.encode('latin-1')),
            (b'Content-Length', str(len(answer.body)).encode()),
            *[
                (name.encode('latin-1'), text.encode('latin-1'))
                for name, text in answer.headers.items()
            ],
        ]
        self.req.ensure_headers_sent()
        if self.req.method != b'HEAD':
            write_body(self.req, answer.body)

    def _take_socket(self, reservation: MemoryReservation) -> socket.socket:
        connection = self.req.conn
        taken = TakenSocket(
            os.dup(connection.socket.fileno()), reservation.move()
        )
        taken.settimeout(connection.socket.gettimeout())
        # The server must neither write to the connection nor shut it down, because
        # the duplicate shares it.
        connection.linger = True
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.chunked_write = False
        return taken


class JsonErrorRequest(HTTPRequest):
    """Use JSON bodies for errors that the server itself answers."""

    def parse_request(self) -> None:
        """Read the head within a time limit."""
        with read_deadlines.limit(self.conn.socket, HEAD_LIMIT_SECONDS):
            super().parse_request()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Write one complete answer and mark the connection to be closed."""
        code = int(str(status).split(' ', 1)[0])
        # cheroot answers 413 for too long headers, too.
        if code == 413 and 'headers' in msg:
            code = 431
        phrase = reason_phrase(code)
        # Status 500 means that the handler failed, possibly after it sent the
        # request to a backend server. Other errors precede the handler.
        outcome = Outcome.unknown if code == 500 else Outcome.not_run
        name = phrase.lower().replace(' ', '_')
        answer = build_error_answer(code, msg or phrase, name, outcome)
        # A server that stops ends the reading of heads itself.
        if self.server.is_ending and outcome == Outcome.not_run:
            answer = build_draining_answer(outcome)
        extra_headers = {
            'Content-Length': str(len(answer.body)),
            **answer.headers,
        }
        head = http_head(answer.status, answer.content_type, extra_headers)
        self.close_connection = True
        self.conn.wfile.write(head + answer.body)


class JsonErrorConnection(CallerConnection):
    """Parse requests with JsonErrorRequest."""

    # cheroot defines this name.
    RequestHandlerClass = JsonErrorRequest  # noqa: WPS115


class ApiServer(DrainingServer):
    """Answer requests on a pool of worker threads."""

    # cheroot defines this name.
    ConnectionClass = JsonErrorConnection  # noqa: WPS115

    def __init__(
        self,
        address: str,
        port: int,
        handler: RequestHandler,
        thread_count: int,
    ) -> None:
        super().__init__(
            address,
            port,
            RequestGateway,
            LISTEN_BACKLOG_COUNT,
            lambda: HEAD_LIMIT_SECONDS,
            minthreads=thread_count,
            maxthreads=thread_count,
        )
        self.handler = handler
        # Outcome of a request that the server refuses before its handler.
        self.refusal_outcome: Callable[[HttpRequest], Outcome] = (
            lambda request: Outcome.not_run
        )
        self.memory_budget = MemoryBudget(
            DEFAULT_MEMORY_LIMIT_BYTES, thread_count
        )
        self.timeout = REQUEST_TIMEOUT_SECONDS

    def run_in_thread(self) -> None:
        """Start a thread that accepts connections."""
        self.prepare_stop()
        threading.Thread(target=self.serve, name='http', daemon=True).start()


def build_error_answer(
    status: int, message: str, code: str, outcome: Outcome
) -> HttpAnswer:
    """Return the answer to a request that a server refuses itself."""
    wait_seconds = BUSY_RETRY_SECONDS if status == BUSY_STATUS else 0
    return HttpAnswer(
        status,
        error_body(message, code, outcome),
        headers=retry_after_field(wait_seconds),
    )


def build_draining_answer(outcome: Outcome) -> HttpAnswer:
    """Return the refusal of a request that has not arrived completely."""
    return build_error_answer(
        BUSY_STATUS, DRAINING_CODE, DRAINING_CODE, outcome
    )


def json_answer(status: int, body: object) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, json.dumps(body).encode())
