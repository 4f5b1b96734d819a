"""HTTP server for the caller API, operator pages and stand-ins, on cheroot."""

import json
import logging
import os
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from wasabistream.answers import (
    JSON_TYPE,
    error_body,
    http_head,
    reason_phrase,
    retry_after_field,
    write_body,
)
from wasabistream.body_readers import discard_body, read_body
from wasabistream.caller_connections import (
    IDLE_BUFFER_BYTES,
    CallerConnection,
    set_receive_buffer,
)
from wasabistream.draining_connections import DrainingConnectionManager
from wasabistream.exceptions import RequestError
from wasabistream.head_waiters import HeadWaiter
from wasabistream.memory_budgets import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    MemoryBudget,
    MemoryReservation,
)
from wasabistream.outcomes import Outcome
from wasabistream.read_deadlines import read_deadlines

logger = logging.getLogger(__name__)

# Longest wait for the next bytes of a request.
REQUEST_TIMEOUT_SECONDS = 10
# Time for the head of a request, from when its connection is idle.
HEAD_LIMIT_SECONDS = 20
# Length of the listen queue of the socket.
LISTEN_BACKLOG_COUNT = 1000
BUSY_STATUS = 503
BUSY_RETRY_SECONDS = 1


@dataclass(frozen=True)
class HttpRequest:
    """Hold one parsed HTTP request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


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
                request = self._read_request(reservation)
            except RequestError as error:
                self._refuse(error)
                return
            answer = self.req.server.handler(
                request, partial(self._take_socket, reservation)
            )
            if answer is not None:
                self._write_answer(answer)

    def _refuse(self, error: RequestError) -> None:
        # The rest of the body would be parsed as the next request.
        self.req.close_connection = True
        body = error_body(error.reason, error.code, Outcome.not_run)
        wait_seconds = BUSY_RETRY_SECONDS if error.status == BUSY_STATUS else 0
        self._write_answer(
            HttpAnswer(
                error.status, body, headers=retry_after_field(wait_seconds)
            )
        )
        discard_body(self.req, error)

    def _read_request(self, reservation: MemoryReservation) -> HttpRequest:
        body = read_body(self.req, reservation)
        return HttpRequest(
            method=self.req.method.decode('latin-1'),
            path=self.req.path.decode('latin-1'),
            query=(self.req.qs or b'').decode('latin-1'),
            headers={
                name.decode('latin-1').lower(): text.decode('latin-1')
                for name, text in self.req.inheaders.items()
            },
            body=body,
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
        body = error_body(msg or phrase, name, outcome)
        extra_headers = {'Content-Length': str(len(body))}
        self.close_connection = True
        self.conn.wfile.write(http_head(code, JSON_TYPE, extra_headers) + body)


class JsonErrorConnection(CallerConnection):
    """Parse requests with JsonErrorRequest."""

    # cheroot defines this name.
    RequestHandlerClass = JsonErrorRequest  # noqa: WPS115


class ApiServer(HTTPServer):
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
            (address, port),
            RequestGateway,
            minthreads=thread_count,
            maxthreads=thread_count,
        )
        self.handler = handler
        self.memory_budget = MemoryBudget(
            DEFAULT_MEMORY_LIMIT_BYTES, thread_count
        )
        self.timeout = REQUEST_TIMEOUT_SECONDS
        self._head_waiter = HeadWaiter(
            partial(HTTPServer.process_conn, self),
            lambda: REQUEST_TIMEOUT_SECONDS,
            lambda: HEAD_LIMIT_SECONDS,
        )
        self.request_queue_size = LISTEN_BACKLOG_COUNT
        self.prepare()
        set_receive_buffer(self.socket, IDLE_BUFFER_BYTES)
        self._connections = DrainingConnectionManager(self)

    @property
    def port(self) -> int:
        """Return the bound port, also if port 0 was requested."""
        port: int = self.bind_addr[1]
        return port

    def process_conn(self, conn: HTTPConnection) -> None:
        """Queue a connection once the head of a request is there."""
        self._head_waiter.add(conn)

    def stop(self) -> None:
        """Answer the requests that have arrived, then stop."""
        self._head_waiter.stop()
        super().stop()

    def run_in_thread(self) -> None:
        """Start a thread that accepts connections."""
        threading.Thread(target=self.serve, name='http', daemon=True).start()

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log the messages of cheroot."""
        logger.log(level, 'http: %s', msg, exc_info=traceback)


def json_answer(status: int, body: object) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, json.dumps(body).encode())
