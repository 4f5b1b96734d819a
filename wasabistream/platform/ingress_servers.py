"""HTTP server for callers behind the platform's load balancer."""

import logging
import math
import re
import select
import socket
import threading
import time
from collections.abc import Callable

from cheroot.server import (
    Gateway,
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
)

from wasabistream.answers import reason_phrase, write_body
from wasabistream.body_readers import discard_body, read_body
from wasabistream.caller_connections import CallerConnection
from wasabistream.exceptions import RequestError
from wasabistream.forwarding.caller_limits import CallerLimits
from wasabistream.forwarding.replies import NOT_RUN, build_refusal
from wasabistream.forwarding.requests import Headers, Reply
from wasabistream.memory_budgets import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    MemoryBudget,
)
from wasabistream.platform import header_names as names
from wasabistream.read_deadlines import read_deadlines
from wasabistream.stopping.draining_servers import DrainingServer

logger = logging.getLogger(__name__)

FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Excludes control characters, as only some parsers end a field at them.
FIELD_TEXT = re.compile(rb'[\t\x20-\x7e\x80-\xff]*')
# Status with which the server answers errors of its handler.
HANDLER_FAILED = '500'
DIGITS = re.compile(rb'[0-9]+')
# Fields that must not be repeated, as parsers differ in which one they use.
SINGLE_FIELDS = frozenset((b'Content-Length', b'Host', b'Transfer-Encoding'))
BACKLOG_COUNT = 1024
MAX_KEEP_ALIVE_CONNECTION_COUNT = 3000
# Threads that a server starts with, and adds when too few are idle.
INITIAL_THREAD_COUNT = 16
ADDED_THREAD_COUNT = 16
MIN_IDLE_THREAD_COUNT = 4
DEFAULT_HEAD_SECONDS = 10.0
# Remaining time assumed for requests whose bodies are not read: bodies in
# progress end with their requests.
MAX_UNREAD_SECONDS = 1.0
# Added to the configured idle timeout, which callers may use up to its end.
IDLE_GRACE_SECONDS = 3.0


class StrictHeaderReader(HeaderReader):
    """Read headers; refuse those that two parsers may read differently."""

    def __call__(self, rfile: object, hdict: dict | None = None) -> dict:
        """Return the headers up to the empty line; raises ValueError."""
        headers: dict = {} if hdict is None else hdict
        while True:
            line = rfile.readline()  # type: ignore[attr-defined]
            if line == b'\r\n':
                return headers
            name, text = self._split_line(line)
            earlier = headers.get(name)
            if earlier is not None and name in SINGLE_FIELDS:
                raise ValueError('Repeated header.')
            headers[name] = _join_values(earlier, text)

    def _split_line(self, line: bytes) -> tuple[bytes, bytes]:
        if not line.endswith(b'\r\n'):
            raise ValueError('Illegal end of headers.')
        name, colon, text = line.partition(b':')
        if not colon or not FIELD_NAME.fullmatch(name):
            raise ValueError('Illegal header line.')
        text = text.strip()
        if not FIELD_TEXT.fullmatch(text):
            raise ValueError('Illegal character in a header.')
        return name.title(), text


def _join_values(earlier: bytes | None, text: bytes) -> bytes:
    if earlier is None:
        return text
    return b', '.join((earlier, text))


class IngressRequest(HTTPRequest):
    """Refuse requests that two parsers may read differently."""

    # cheroot reads this attribute.
    header_reader = StrictHeaderReader()

    def __init__(self, server: HTTPServer, conn: HTTPConnection) -> None:
        super().__init__(server, conn)
        # Monotonic time at which the head had arrived.
        self.head_at_seconds = 0.0

    def parse_request(self) -> None:
        """Read the head within the time limits of the server."""
        limit_seconds = self.server.timeout + self.server.head_seconds
        with read_deadlines.limit(self.conn.socket, limit_seconds):
            super().parse_request()
        self.head_at_seconds = time.monotonic()

    def read_request_headers(self) -> bool:
        """Read the headers; refuse an ambiguous body length."""
        if not super().read_request_headers():
            return False
        content_length = self.inheaders.get(b'Content-Length')
        transfer_coding = self.inheaders.get(b'Transfer-Encoding')
        ambiguous = content_length is not None and not DIGITS.fullmatch(
            content_length
        )
        if transfer_coding is not None and (
            content_length is not None or not self.chunked_read
        ):
            ambiguous = True
        if ambiguous:
            self.close_connection = True
            self.simple_response('400 Bad Request', 'Unclear body length.')
            return False
        return True

    def simple_response(self, status: str, msg: str = '') -> None:
        """Write an answer of the server itself and close the connection."""
        self.close_connection = True
        body = msg.encode('latin-1')
        retry_field = ''
        # A server that stops ends the reading of heads itself. After a failure
        # of the handler the request may have run.
        if self.server.is_ending and not status.startswith(HANDLER_FAILED):
            reply = build_refusal(MAX_UNREAD_SECONDS)
            status = f'{reply.status} {reason_phrase(reply.status)}'
            retry_field = ''.join(
                f'{name}: {text}\r\n' for name, text in reply.headers
            )
            body = b''
        head = (
            f'HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{retry_field}'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self.conn.wfile.write(head.encode('latin-1') + body)


class IngressConnection(CallerConnection):
    """Hold one connection of a caller, whose requests are read strictly."""

    # cheroot reads this attribute.
    RequestHandlerClass = IngressRequest  # noqa: WPS115


def read_request_id(request: HTTPRequest) -> str:
    """Return the id of a request, or an empty string."""
    text: bytes = request.inheaders.get(names.REQUEST_ID.title().encode(), b'')
    return text.decode('latin-1')


class HttpCaller:
    """Write the answer to one request of a caller."""

    def __init__(self, request: HTTPRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._socket: socket.socket = request.conn.socket
        self.begun = False

    def reply(self, reply: Reply) -> None:
        """Send a complete answer."""
        length_header = (('content-length', str(len(reply.body))),)
        self.begin(reply.status, reply.headers + length_header)
        if self._request.method != b'HEAD':
            write_body(self._request, reply.body)

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows."""
        self.begun = True
        request = self._request
        pairs = dict(headers)
        if self._request_id:
            pairs.setdefault(names.REQUEST_ID, self._request_id)
        request.status = f'{status} {reason_phrase(status)}'.encode()  # type: ignore[assignment]
        request.outheaders = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in pairs.items()
        ]
        request.ensure_headers_sent()

    def write(self, piece: bytes) -> None:
        """Send a piece of the body; raises OSError on a closed connection."""
        self._request.write(piece)

    def abort(self) -> None:
        """Close the connection early, so that the answer looks incomplete.

        An answer in chunks lacks the last one. Callers of HTTP/1.0 get no chunks,
        so that only a reset marks a stream that has begun as broken off.
        """
        if self.begun and not self._request.chunked_write:
            self._request.conn.is_reset_on_close = True
        self.begun = True
        self._request.sent_headers = True
        self._request.close_connection = True
        self._request.chunked_write = False

    def has_left(self) -> bool:
        """Tell whether the caller has closed its connection."""
        poll = select.poll()
        try:
            poll.register(self._socket, select.POLLIN)
            if not poll.poll(0):
                return False
            peeked = self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True
        return not peeked


# Answers one request; gets its body as well.
IngressHandler = Callable[[IngressRequest, bytes], None]


class IngressGateway(Gateway):
    """Read the body of each request and hand it to the handler."""

    def respond(self) -> None:
        """Answer one request."""
        with self.req.server.memory_budget.open_body() as reservation:
            try:
                body = read_body(self.req, reservation)
            except RequestError as error:
                self._refuse(error)
                return
            self.req.server.requests_in_progress.record_id(
                self.req.conn, read_request_id(self.req)
            )
            self.req.server.handler(self.req, body)

    def _refuse(self, error: RequestError) -> None:
        request_id = read_request_id(self.req)
        logger.info(
            'request: refused: %s',
            error.reason,
            extra={'request_id': request_id, 'status': error.status},
        )
        reply = Reply(error.status)
        # A server that stops ends the reading of bodies itself.
        if error.status == NOT_RUN or self.req.server.is_ending:
            reply = build_refusal(MAX_UNREAD_SECONDS)
        self.req.close_connection = True
        HttpCaller(self.req, request_id).reply(reply)
        discard_body(self.req, error)


class IngressServer(DrainingServer):
    """Serve callers with one thread for each request, added when needed."""

    # cheroot reads this attribute.
    ConnectionClass = IngressConnection  # noqa: WPS115

    def __init__(
        self,
        address: str,
        port: int,
        handler: IngressHandler,
        thread_count: int,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        super().__init__(
            address,
            port,
            IngressGateway,
            BACKLOG_COUNT,
            lambda: self.head_seconds,
            minthreads=min(thread_count, INITIAL_THREAD_COUNT),
            maxthreads=thread_count,
        )
        # Held while threads are added.
        self._growth_lock = threading.Lock()
        self._is_stopping = False
        # Time for the head of a request after its first byte.
        self.head_seconds = DEFAULT_HEAD_SECONDS
        self.handler = handler
        self.memory_budget = memory_budget or MemoryBudget(
            DEFAULT_MEMORY_LIMIT_BYTES, thread_count
        )
        self.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTION_COUNT

    def set_limits(self, limits: CallerLimits) -> None:
        """Limit a request's header and body and a connection's idle time."""
        header_bytes = limits.max_header_bytes
        body_bytes = limits.max_body_bytes
        idle_seconds = limits.idle_timeout_seconds
        self.head_seconds = limits.header_timeout_seconds
        self.max_request_header_size = header_bytes
        self.max_request_body_size = body_bytes
        self.timeout = math.ceil(idle_seconds + IDLE_GRACE_SECONDS)

    def run_in_thread(self, name: str) -> None:
        """Start a thread that serves until `stop`."""
        self.prepare_stop()
        threading.Thread(target=self.serve, name=name, daemon=True).start()

    def begin_stop(self, seconds: float) -> None:
        """Add no more threads; answer what has arrived and stop."""
        self._is_stopping = True
        super().begin_stop(seconds)

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Write a message of cheroot to the log."""
        logger.log(level, 'ingress: %s', msg, exc_info=traceback)

    def queue_connection(self, conn: HTTPConnection) -> None:
        """Queue a connection; add threads if too few are idle."""
        super().queue_connection(conn)
        if self._needs_threads() and self._growth_lock.acquire(blocking=False):
            # Each start waits for its thread, which would delay others.
            self._start_growth()

    def _start_growth(self) -> None:
        try:
            threading.Thread(
                target=self._grow, name='grow', daemon=True
            ).start()
        except RuntimeError as error:
            self._growth_lock.release()
            logger.warning('ingress: no thread is added: %s', error)

    def _needs_threads(self) -> bool:
        pool = self.requests
        return (
            not self._is_stopping
            and len(pool._threads) < pool.max
            and pool.idle - pool.qsize < MIN_IDLE_THREAD_COUNT
        )

    def _grow(self) -> None:
        # Requests that are queued meanwhile find the lock taken, so the need is
        # looked at again once it is free.
        while True:
            try:
                self.requests.grow(ADDED_THREAD_COUNT)
            except RuntimeError as error:
                logger.warning('ingress: no thread is added: %s', error)
                return
            finally:
                self._growth_lock.release()
            if not self._needs_threads():
                return
            if not self._growth_lock.acquire(blocking=False):
                return
