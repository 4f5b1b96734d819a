"""HTTP client for requests to backend servers."""

import http.client
import socket
from collections.abc import Callable, Mapping

from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from wasabistream.exceptions import (
    BackendError,
    BackendTimeoutError,
    NotRunError,
)
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.interfaces import (
    AnswerHead,
    AttemptOptions,
    Cancellable,
)
from wasabistream.forwarding.requests import ForwardRequest, Headers
from wasabistream.limited_pools import TrackedConnection
from wasabistream.limited_responses import LimitedResponse
from wasabistream.platform import header_names as names
from wasabistream.platform.advisory_decoders import decode_advisory
from wasabistream.run_endings.boot_clocks import read_boot_clock
from wasabistream.scheduling.urgencies import LOWEST_URGENCY
from wasabistream.units import MILLISECONDS_PER_SECOND

# A connection within a region takes a few milliseconds. Waiting longer does
# not help: a machine without power never answers, and a lost first packet is
# sent again only after a second.
CONNECT_TIMEOUT_SECONDS = 0.25
# Minimum read timeout: 0 would make the socket non-blocking, and a negative
# timeout raises ValueError.
MIN_TIMEOUT_SECONDS = 0.001
MAX_READ_BYTES = 64 * 1024
# Chunk headers and trailers that one read of a body may take besides.
MAX_FRAMING_BYTES = 16 * 1024
# A connection whose bytes stay unacknowledged for longer counts as broken.
UNACKNOWLEDGED_LIMIT_MS = 2000
# The same for a request that cannot run elsewhere: the network may be cut for
# seconds while the backend server goes on with it.
LAST_ATTEMPT_UNACKNOWLEDGED_LIMIT_MS = 10_000
KEEPALIVE_SECONDS = 1
# Limits the bytes of an answer that have arrived and are not read yet.
RECEIVE_BUFFER_BYTES = 32 * 1024

SocketOptions = list[tuple[int, int, int | bytes]]


def build_socket_options(
    unacknowledged_limit_ms: int,
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> SocketOptions:
    """Return options with which a silent peer is noticed after this time."""
    probe_count = unacknowledged_limit_ms // (
        KEEPALIVE_SECONDS * MILLISECONDS_PER_SECOND
    )
    return [
        (socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probe_count + 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_limit_ms),
    ]


SOCKET_OPTIONS = build_socket_options(UNACKNOWLEDGED_LIMIT_MS)
LAST_ATTEMPT_SOCKET_OPTIONS = build_socket_options(
    LAST_ATTEMPT_UNACKNOWLEDGED_LIMIT_MS
)


class SocketCloser:
    """Interrupt an HTTP exchange from another thread."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        # Distinguishes this end of the connection from that of the server.
        self.closed = False

    def close(self) -> None:
        """Shut the socket down, which wakes the thread that reads from it."""
        self.closed = True
        shut_down_socket(self._sock)


class HttpExchange:
    """Read one answer of a backend server; raises BackendError."""

    def __init__(
        self,
        connection: TrackedConnection,
        request: ForwardRequest,
        peer: str,
        closer: SocketCloser,
        server_deadline_seconds: float,
    ) -> None:
        self.server_deadline_seconds = server_deadline_seconds
        self._connection = connection
        self._peer = peer
        self._closer = closer
        self._sock = connection.sock
        self._response = LimitedResponse(
            self._sock,
            method=request.method,
            send_failed=connection.send_failed,
        )
        try:
            self._response.begin()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise BackendError(repr(error), 'head', peer) from error
        self.head = _decode_head(self._response, request, peer)

    def read(self) -> bytes:
        """Return the next bytes of the body, or b'' at its regular end.

        Raises BackendError when the answer breaks off.
        """
        self._response.reader.limit(MAX_READ_BYTES + MAX_FRAMING_BYTES)
        try:
            piece = self._response.read1(MAX_READ_BYTES)
        except TimeoutError as error:
            raise BackendTimeoutError(
                repr(error), 'body', self._peer
            ) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise BackendError(repr(error), 'body', self._peer) from error
        if not piece:
            self._check_end()
        return piece

    def close(self) -> None:
        """Close the connection; the backend server then stops its work."""
        shut_down_socket(self._sock)
        self._connection.close()

    def _check_end(self) -> None:
        response = self._response
        if response.length:
            raise BackendError('body is too short', 'body', self._peer)
        if response.chunked and response.reader.ended:
            raise BackendError('last chunk is cut off', 'body', self._peer)
        # A shutdown by the supervisor reads like the end of the connection.
        if response.ends_with_connection and self._closer.closed:
            raise BackendError('answer was cut', 'body', self._peer)


class HttpServerClient:
    """Send each request over a new connection.

    A reused connection may still carry a late answer, or the server may close
    it just as a request that may run only once is sent on it.
    """

    def open(
        self,
        server: BackendServer,
        request: ForwardRequest,
        options: AttemptOptions,
        on_connected: Callable[[Cancellable], None],
    ) -> HttpExchange:
        """Send a request and read the head of its answer.

        `on_connected` receives an object that cancels the wait. Raises
        NotRunError when the request cannot have run, and BackendError when
        it may have.
        """
        socket_options = (
            SOCKET_OPTIONS
            if request.route.repeatable
            else LAST_ATTEMPT_SOCKET_OPTIONS
        )
        connection = connect(
            server.address, server.port, server.endpoint, socket_options
        )
        closer = SocketCloser(connection.sock)
        on_connected(closer)
        try:
            server_deadline_seconds = _send(
                connection, server, request, options
            )
            return HttpExchange(
                connection,
                request,
                server.endpoint,
                closer,
                server_deadline_seconds,
            )
        except BackendError:
            connection.close()
            raise

    def probe(self, server: BackendServer) -> None:
        """Open and close a connection; raises NotRunError on failure."""
        connect(server.address, server.port, server.endpoint).close()


def connect(
    address: str,
    port: int,
    peer: str,
    socket_options: SocketOptions = SOCKET_OPTIONS,
) -> TrackedConnection:
    """Open a connection to a backend server; raises NotRunError."""
    connection = TrackedConnection(
        address,
        port,
        timeout=CONNECT_TIMEOUT_SECONDS,
        socket_options=socket_options,
    )
    try:
        connection.connect()
    except (OSError, HTTPError) as error:
        raise NotRunError(str(error), 'connect', peer) from error
    return connection


def shut_down_socket(sock: socket.socket | None) -> None:
    """Shut a socket down, which wakes a thread that reads from it.

    The caller still has to close its descriptor.
    """
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has already closed it.
        return


def _send(
    connection: TrackedConnection,
    server: BackendServer,
    request: ForwardRequest,
    options: AttemptOptions,
) -> float:
    """Send a request; return when the server will stop it, on the boot clock.

    The server counts the remaining time from the arrival of the head, so it
    stops at this time or later.
    """
    # Applies to each read from here on, that of the head included.
    connection.timeout = max(options.timeout_seconds, MIN_TIMEOUT_SECONDS)
    connection.sock.settimeout(connection.timeout)
    encoded_at_seconds = read_boot_clock()
    try:
        headers = encode_headers(server, request, options)
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
        )
    except (ValueError, http.client.InvalidURL) as error:
        raise NotRunError(str(error), 'encode', server.endpoint) from error
    except (OSError, HTTPError) as error:
        # A backend server may answer and close before it has read a long
        # body; that answer can still be read.
        if not request.body:
            raise BackendError(str(error), 'send', server.endpoint) from error
    remaining_seconds = (
        int(headers[names.REMAINING_MS]) / MILLISECONDS_PER_SECOND
    )
    return encoded_at_seconds + remaining_seconds


def encode_headers(
    server: BackendServer, request: ForwardRequest, options: AttemptOptions
) -> Mapping[str, str]:
    """Return the headers to send with one attempt."""
    remaining_ms = max(
        int(request.deadline.remaining_seconds * MILLISECONDS_PER_SECOND), 1
    )
    headers = dict(request.headers)
    headers.setdefault('user-agent', SKIP_HEADER)
    headers.setdefault('accept-encoding', 'identity')
    headers[names.REQUEST_ID] = request.request_id
    headers[names.REMAINING_MS] = str(remaining_ms)
    if server.server_id:
        headers[names.EXPECTED_SERVER] = server.server_id
    if request.organisation:
        headers[names.ORGANISATION] = request.organisation
    # Only generations have a demand and an urgency.
    if request.demand is not None:
        headers[names.URGENCY] = str(
            min(request.engine_urgency, LOWEST_URGENCY)
        )
    continuation = options.continuation
    if continuation is not None:
        if continuation.handle:
            headers[names.MEMORY_SOURCE] = (
                f'{continuation.memory_endpoint}/{continuation.handle}'
            )
        if continuation.last_event_id:
            headers[names.LAST_EVENT_ID] = continuation.last_event_id
    return headers


def _decode_head(
    response: LimitedResponse, request: ForwardRequest, peer: str
) -> AnswerHead:
    pairs = [(name.lower(), text) for name, text in response.getheaders()]
    headers = dict(pairs)
    answered_request_id = headers.get(names.REQUEST_ID, request.request_id)
    if answered_request_id != request.request_id:
        raise BackendError('answer belongs to another request', 'head', peer)
    if headers.get('content-encoding', 'identity') != 'identity':
        raise BackendError('body has an encoding', 'head', peer)
    media_type = headers.get('content-type', '')
    # 421 (Misdirected Request) states that the request has not run, as another
    # server than the expected one has the address.
    misdirected = response.status == 421
    return AnswerHead(
        status=response.status,
        headers=_select_returned_headers(pairs),
        sealed=names.SEAL in headers,
        not_run=misdirected or names.NOT_EXECUTED in headers,
        event_stream=media_type.startswith('text/event-stream'),
        ends_with_connection=response.ends_with_connection,
        advisory=(
            None
            if misdirected
            else decode_advisory(response.status, headers, peer)
        ),
    )


def _select_returned_headers(pairs: list[tuple[str, str]]) -> Headers:
    return tuple(pair for pair in pairs if pair[0] not in names.CONNECTION_ONLY)
