"""HTTP server for callers that the platform's balancer sends."""

import logging
import math
import re
import select
import socket
import threading
from collections.abc import Callable

from cheroot.errors import MaxSizeExceeded
from cheroot.server import (
    ChunkedRFile,
    Gateway,
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
)

from wasabistream.answers import reason_phrase
from wasabistream.exceptions import RequestError
from wasabistream.forwarding.requests import Headers, Reply
from wasabistream.platform import header_names as names

logger = logging.getLogger(__name__)

FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Control characters end a field for some parsers and not for others.
FIELD_TEXT = re.compile(rb'[\t\x20-\x7e\x80-\xff]*')
DIGITS = re.compile(rb'[0-9]+')
# Fields that must not be repeated, as parsers differ in which one they take.
SINGLE_FIELDS = frozenset((b'Content-Length', b'Host', b'Transfer-Encoding'))
BACKLOG_COUNT = 1024
KEPT_CONNECTION_COUNT = 3000
# Added to the idle time that callers may rely on.
IDLE_GRACE_SECONDS = 3.0


class StrictHeaderReader(HeaderReader):
    """Refuse headers that two parsers may read differently."""

    def __call__(self, rfile: object, hdict: dict | None = None) -> dict:
        """Read headers; raises ValueError."""
        headers: dict = {} if hdict is None else hdict
        while True:
            line = rfile.readline()  # type: ignore[attr-defined]
            if line == b'\r\n':
                return headers
            name, text = self._split(line)
            earlier = headers.get(name)
            if earlier is not None and name in SINGLE_FIELDS:
                raise ValueError('Repeated header.')
            headers[name] = _join(earlier, text)

    def _split(self, line: bytes) -> tuple[bytes, bytes]:
        if not line.endswith(b'\r\n'):
            raise ValueError('Illegal end of headers.')
        name, colon, text = line.partition(b':')
        if not colon or not FIELD_NAME.fullmatch(name):
            raise ValueError('Illegal header line.')
        text = text.strip()
        if not FIELD_TEXT.fullmatch(text):
            raise ValueError('Illegal character in a header.')
        return name.title(), text


def _join(earlier: bytes | None, text: bytes) -> bytes:
    if earlier is None:
        return text
    return b', '.join((earlier, text))


class IngressRequest(HTTPRequest):
    """Read requests strictly."""

    # The name is given by cheroot.
    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers and refuse unclear lengths."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b'Content-Length')
        coding = self.inheaders.get(b'Transfer-Encoding')
        unclear = length is not None and not DIGITS.fullmatch(length)
        if coding is not None and (length is not None or not self.chunked_read):
            unclear = True
        if unclear:
            self.close_connection = True
            self.simple_response('400 Bad Request', 'Unclear body length.')
            return False
        return True

    def simple_response(self, status: str, msg: str = '') -> None:
        """Write one answer of the server itself and end the connection."""
        self.close_connection = True
        body = msg.encode('latin-1')
        head = (
            f'HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self.conn.wfile.write(head.encode('latin-1') + body)


class IngressConnection(HTTPConnection):
    """Hold one connection of a caller."""

    # The name is given by cheroot.
    RequestHandlerClass = IngressRequest  # noqa: WPS115


class HttpCaller:
    """Answer one request of a caller."""

    def __init__(self, request: HTTPRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._socket: socket.socket = request.conn.socket
        self.begun = False

    def reply(self, reply: Reply) -> None:
        """Send one whole answer."""
        length = (('content-length', str(len(reply.body))),)
        self.begin(reply.status, reply.headers + length)
        if self._request.method != b'HEAD':
            self._request.write(reply.body)

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
        """Send a piece of the body; raises OSError when the caller left."""
        self._request.write(piece)

    def abort(self) -> None:
        """End the connection, so that the answer does not look complete."""
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


# Answers one request whose body has been read.
IngressHandler = Callable[[HTTPRequest, bytes], None]


class IngressGateway(Gateway):
    """Read the body of each request and hand it to the handler."""

    def respond(self) -> None:
        """Answer one request."""
        try:
            body = self._read_body()
        except RequestError as error:
            self.req.close_connection = True
            HttpCaller(self.req, '').reply(Reply(error.status))
            return
        self.req.server.handler(self.req, body)

    def _read_body(self) -> bytes:
        request = self.req
        try:
            body: bytes = request.rfile.read()
            if isinstance(request.rfile, ChunkedRFile):
                # The end of the body is followed by trailers.
                list(request.rfile.read_trailer_lines())  # type: ignore
                return body
        except MaxSizeExceeded as error:
            raise RequestError('body is too long', 413, 'long') from error
        except TimeoutError as error:
            raise RequestError('body came too slowly', 408, 'slow') from error
        except (OSError, ValueError) as error:
            raise RequestError(str(error), 400, 'body') from error
        expected = int(request.inheaders.get(b'Content-Length', 0))
        if len(body) < expected:
            raise RequestError('body is cut off', 400, 'body')
        return body


class IngressServer(HTTPServer):
    """Serve callers with one thread for each request."""

    # The name is given by cheroot.
    ConnectionClass = IngressConnection  # noqa: WPS115

    def __init__(
        self,
        address: str,
        port: int,
        handler: IngressHandler,
        thread_count: int,
    ) -> None:
        super().__init__(
            (address, port),
            IngressGateway,
            minthreads=thread_count,
            maxthreads=thread_count,
        )
        self.handler = handler
        self.request_queue_size = BACKLOG_COUNT
        self.keep_alive_conn_limit = KEPT_CONNECTION_COUNT
        self.prepare()

    @property
    def port(self) -> int:
        """Return the port in use."""
        port: int = self.bind_addr[1]
        return port

    def limit(
        self, header_bytes: int, body_bytes: int, idle_seconds: float
    ) -> None:
        """Set what a caller may send and how long it may stay idle."""
        self.max_request_header_size = header_bytes
        self.max_request_body_size = body_bytes
        self.timeout = math.ceil(idle_seconds + IDLE_GRACE_SECONDS)

    def run_in_thread(self, name: str) -> None:
        """Serve from a thread of its own."""
        threading.Thread(target=self.serve, name=name, daemon=True).start()

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Send the server's messages to the log."""
        logger.log(level, 'ingress: %s', msg, exc_info=traceback)
