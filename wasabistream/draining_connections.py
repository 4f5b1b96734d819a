"""Connections of an HTTP server that answers what has arrived when it stops."""

import logging
import select
import socket
import threading

from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection, HTTPServer

from wasabistream.exceptions import MemoryLimitError

logger = logging.getLogger(__name__)

WAKE_TIMEOUT_SECONDS = 0.1


class DrainingConnectionManager(ConnectionManager):
    """Hand requests that have arrived to the workers before the server stops.

    cheroot resets connections whose requests it has not read yet.
    """

    def __init__(self, server: HTTPServer) -> None:
        super().__init__(server)
        self._closed = threading.Event()

    def wait_until_closed(self, timeout_seconds: float) -> None:
        """Wait until the requests that have arrived are handed over."""
        if not self._closed.wait(timeout_seconds):
            logger.warning('http: listener is not closed in time')

    def stop(self) -> None:
        """Stop waiting for requests; accept the connections that wait."""
        listener = self.server.socket
        self._stop_requested = True
        if listener is not None:
            _wake(listener)
        super().stop()
        while listener is not None and _is_readable(listener):
            try:
                connection = self._from_server_socket(listener)
            except OSError as error:
                # Too few descriptors, for example; the stop goes on.
                logger.warning('http: connections are reset: %s', error)
                return
            # None if one is refused, or has been closed; others may follow it.
            if connection is not None:
                self.server.process_conn(connection)

    def close(self) -> None:
        """Close the idle connections; the others are answered and closed."""
        # cheroot's type stubs leave the attribute out.
        selector = self._selector  # type: ignore[attr-defined]
        for _, connection in tuple(selector.connections):
            if connection is self.server:
                continue
            if _is_readable(connection.socket):
                self.server.process_conn(connection)
            else:
                connection.close()
        selector.close()
        self._closed.set()

    def _from_server_socket(
        self, server_socket: socket.socket
    ) -> HTTPConnection | None:
        """Accept a connection, or close it if no memory is left for it."""
        try:
            return super()._from_server_socket(server_socket)  # type: ignore[misc, no-any-return]
        except MemoryLimitError as error:
            logger.warning('http: connection is closed: %s', error)
            return None


def _wake(listener: socket.socket) -> None:
    """Connect to the listener, as its loop looks for a stop twice a second.

    A planned stop has half a second between its drain and the end.
    """
    try:
        socket.create_connection(
            listener.getsockname()[:2], WAKE_TIMEOUT_SECONDS
        ).close()
    except OSError as error:
        logger.info('http: loop of a listener is not woken: %s', error)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
