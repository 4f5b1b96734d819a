"""HTTP server that names and answers what has arrived when it stops."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from wasabistream.caller_connections import (
    IDLE_BUFFER_BYTES,
    set_receive_buffer,
)
from wasabistream.draining_connections import DrainingConnectionManager
from wasabistream.head_waiters import HeadWaiter
from wasabistream.stopping.growing_pools import GrowingPool
from wasabistream.stopping.open_requests import OpenRequests

logger = logging.getLogger(__name__)

# Time for the answers in progress of a server that stops without a drain.
MIN_STOP_SECONDS = 0.3


class DrainingServer(HTTPServer):
    """Count requests from their first byte and answer them during a stop."""

    def __init__(
        self,
        address: str,
        port: int,
        gateway: type[Gateway],
        backlog_count: int,
        head_seconds: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__((address, port), gateway, **options)
        self.requests = GrowingPool(
            self, min=self.requests.min, max=self.requests.max
        )
        self._head_waiter = HeadWaiter(
            self.queue_connection, lambda: self.timeout, head_seconds
        )
        self.requests_in_progress = OpenRequests()
        # Whether requests that have not arrived completely are refused.
        self.is_ending = False
        self._stopper: threading.Thread | None = None
        self._is_stop_begun = False
        self._stop_orders: queue.SimpleQueue[None] = queue.SimpleQueue()
        self.request_queue_size = backlog_count
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

    def queue_connection(self, conn: HTTPConnection) -> None:
        """Queue a connection for the threads."""
        self.requests_in_progress.begin(conn)
        if self.is_ending:
            # What has arrived of it is read; the rest is not waited for.
            self.requests_in_progress.end_arrivals()
        HTTPServer.process_conn(self, conn)

    def stop(self) -> None:
        """Answer the requests that have arrived, then stop."""
        self._head_waiter.stop()
        super().stop()

    def open_requests(self) -> list[str]:
        """Return the requests from their first byte until their answer."""
        # In the order in which a request passes them, so that none is missed.
        return [
            *self._head_waiter.begun_requests(),
            *self.requests_in_progress.names(),
        ]

    def prepare_stop(self) -> None:
        """Start the thread of the stop, as a new one may come late to its turn."""
        if self._stopper is None:
            stopper = threading.Thread(
                target=self._run_stop, name='stop', daemon=True
            )
            stopper.start()
            self._stopper = stopper

    def begin_stop(self, seconds: float) -> None:
        """Close the listener and idle connections; answer what has arrived.

        Connections that are still in use after `seconds` are shut down.
        """
        self.shutdown_timeout = seconds  # type: ignore[assignment]
        self._is_stop_begun = True
        self.prepare_stop()
        self._stop_orders.put(None)
        self._connections.wait_until_closed()

    def end_arrivals(self) -> None:
        """Refuse the requests that have not arrived completely."""
        self.is_ending = True
        self.requests_in_progress.end_arrivals()

    def end_stop(self) -> None:
        """Wait for the end of the stop."""
        if not self._is_stop_begun:
            self.begin_stop(MIN_STOP_SECONDS)
        if self._stopper is not None:
            self._stopper.join()

    def stop_within(self, seconds: float) -> None:
        """Answer the requests that have arrived, then stop."""
        self.begin_stop(seconds)
        self.end_stop()

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Write a message of cheroot to the log."""
        logger.log(level, 'http: %s', msg, exc_info=traceback)

    def _run_stop(self) -> None:
        self._stop_orders.get()
        self.stop()
