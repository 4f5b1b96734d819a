"""HTTP server of an entry on the platform for metrics and explanations."""

import http.client
import logging
import socket
import sys
import threading
from collections.abc import Callable, Iterable
from io import BufferedIOBase
from socketserver import ThreadingMixIn
from typing import Any, cast
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer

from prometheus_client import make_wsgi_app

from wasabistream.platform.header_names import CALLER_KEY
from wasabistream.platform.request_decoders import decode_selection_query
from wasabistream.read_deadlines import read_deadlines
from wasabistream.route_queries.explainers import (
    SelectionExplainer,
    SelectionParts,
)
from wasabistream.route_queries.pages import ROUTE_PATH, RoutePage

logger = logging.getLogger(__name__)

# Time in which a request must be read.
REQUEST_LIMIT_SECONDS = 5.0
# Bounds the request line and the headers together.
MAX_HEAD_BYTES = 16 * 1024
# Requests at the same time; further connections are closed. An operator and
# a few collectors of metrics use the server.
MAX_REQUEST_COUNT = 8
# Name of the header with the API key of a caller, in a WSGI environment.
CALLER_KEY_VARIABLE = 'HTTP_' + CALLER_KEY.upper().replace('-', '_')

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class MetricsServer:
    """Serve `/route`, and metrics at each other path."""

    def __init__(self, address: str, port: int, page: RoutePage) -> None:
        self._page = page
        self._metrics = make_wsgi_app()
        self._server = _Server(address, port)
        self._server.set_app(self._respond)
        self.port: int = self._server.server_address[1]

    def start(self) -> None:
        """Serve on a thread of its own."""
        threading.Thread(
            target=self._server.serve_forever, name='metrics', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _respond(
        self, environment: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environment['PATH_INFO'] != ROUTE_PATH:
            return cast(
                'Iterable[bytes]', self._metrics(environment, start_response)
            )
        status, body = self._page.answer(
            environment['REQUEST_METHOD'],
            environment.get('QUERY_STRING', ''),
            environment.get('HTTP_AUTHORIZATION', ''),
            environment.get(CALLER_KEY_VARIABLE, ''),
        )
        start_response(
            f'{status} {http.client.responses[status]}',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]


def build_metrics_server(
    address: str,
    port: int,
    process_id: str,
    parts: SelectionParts,
    operator_key: str,
) -> MetricsServer:
    """Return the server of an entry that selects with these parts."""
    explainer = SelectionExplainer(process_id, parts, decode_selection_query)
    return MetricsServer(
        address, port, RoutePage(explainer.explain, operator_key)
    )


class _LimitedReader:
    """Read the head of a request, up to a number of bytes."""

    def __init__(self, reader: BufferedIOBase) -> None:
        self._reader = reader
        self._left_count = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raises HTTPException beyond the limit."""
        line = self._reader.readline(self._left_count + 1)
        self._left_count -= len(line)
        if self._left_count < 0:
            raise http.client.HTTPException('head is too long')
        return line

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the reader."""
        return getattr(self._reader, name)


class _Handler(WSGIRequestHandler):
    """Read one request within limits."""

    timeout = REQUEST_LIMIT_SECONDS

    def setup(self) -> None:
        """Limit the head."""
        super().setup()
        self.rfile = cast('Any', _LimitedReader(self.rfile))

    def handle(self) -> None:
        """Answer one request."""
        with read_deadlines.limit(self.connection, REQUEST_LIMIT_SECONDS):
            super().handle()

    def address_string(self) -> str:
        """Return the peer without a look-up of its name."""
        return str(self.client_address[0])

    def log_message(self, format: str, *arguments: Any) -> None:
        """Suppress the access log, which would contain query strings."""


class _Server(ThreadingMixIn, WSGIServer):
    daemon_threads = True

    def __init__(self, address: str, port: int) -> None:
        if ':' in address:
            self.address_family = socket.AF_INET6
        self._free = threading.BoundedSemaphore(MAX_REQUEST_COUNT)
        super().__init__((address, port), _Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Start a thread for a request, up to a number of them."""
        if not self._free.acquire(blocking=False):
            logger.warning('metrics: too many requests at the same time')
            self.shutdown_request(request)
            return
        try:
            super().process_request(request, client_address)
        except BaseException:
            self._free.release()
            raise

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        """Answer one request."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._free.release()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log a request that could not be read or answered."""
        logger.info(
            'metrics: request failed: %r',
            sys.exc_info()[1],
            extra={'peer': str(client_address[0])},
        )
