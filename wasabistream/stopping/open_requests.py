"""Requests of an HTTP server from their arrival until their answer is sent."""

import logging
import socket
import threading
from typing import Any

logger = logging.getLogger(__name__)


class OpenRequests:
    """Name the requests that a server reads or answers.

    A drain that knows only the requests it has passed on would end while others
    are still being read.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Ids by connection; empty until the body has been read.
        self._request_ids: dict[Any, str] = {}

    def begin(self, connection: Any) -> None:
        """Record that a request arrives at a connection."""
        with self._lock:
            self._request_ids[connection] = ''

    def record_id(self, connection: Any, request_id: str) -> None:
        """Record the id of a request that has been read."""
        with self._lock:
            # A request without an id has been read as well.
            self._request_ids[connection] = request_id or describe_caller(
                connection
            )

    def end(self, connection: Any) -> None:
        """Record that a request has been answered or has failed."""
        with self._lock:
            self._request_ids.pop(connection, None)

    def names(self) -> list[str]:
        """Return the ids; those not known yet by the address of the caller."""
        with self._lock:
            return [
                request_id or describe_caller(connection)
                for connection, request_id in self._request_ids.items()
            ]

    def end_arrivals(self) -> None:
        """End the reading of requests that have not arrived completely."""
        with self._lock:
            arriving = [
                connection
                for connection, request_id in self._request_ids.items()
                if not request_id
            ]
        for connection in arriving:
            try:
                connection.socket.shutdown(socket.SHUT_RD)
            except OSError as error:
                logger.debug('http: caller has closed: %s', error)


def describe_caller(connection: Any) -> str:
    """Return the address and port of a caller."""
    return f'{connection.remote_addr}:{connection.remote_port}'
