"""Token path from a link to the socket of a caller."""

import logging
import selectors
import socket
import threading
from collections.abc import Callable

from wasabistream.metrics import CUT_STREAMS, OPEN_STREAMS

logger = logging.getLogger(__name__)

SLOW_SEND_TIMEOUT_SECONDS = 30.0


class CallerStream:
    """Write bytes to a caller without blocking the writing thread.

    A caller whose socket is full gets its own writer thread, and is cut when
    more than the limit waits for it.
    """

    def __init__(
        self,
        sock: socket.socket,
        limit_bytes: int,
    ) -> None:
        self._socket = sock
        self._limit_bytes = limit_bytes
        # Called once when the caller is lost; an engine goes on without one.
        self.on_gone: Callable[[], None] | None = None
        self._lock = threading.Lock()
        self._waiting = bytearray()
        self._writer_runs = False
        self._finished = False
        self._closed = False
        sock.setblocking(False)
        OPEN_STREAMS.inc()

    @property
    def closed(self) -> bool:
        """Tell whether the socket has been closed."""
        return self._closed

    def register(
        self, selector: selectors.BaseSelector, on_gone: Callable[[], None]
    ) -> None:
        """Let a selector watch the socket for the end of the connection."""
        selector.register(self._socket, selectors.EVENT_READ, (self, on_gone))

    def caller_left(self) -> bool:
        """Tell whether the caller has closed its connection."""
        with self._lock:
            if self._closed:
                return False
            try:
                return not self._socket.recv(1024, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True

    def write(self, payload: bytes) -> None:
        """Send now what fits and leave the rest to a writer thread."""
        with self._lock:
            if self._closed:
                return
            if self._writer_runs:
                self._queue(payload)
                return
            sent_bytes = self._send_now(payload)
            if not self._closed and sent_bytes < len(payload):
                self._queue(payload[sent_bytes:])

    def finish(self) -> None:
        """Close the socket once everything has been sent."""
        with self._lock:
            self._finished = True
            if not self._writer_runs:
                self._close()

    def abort(self, reason: str) -> None:
        """Close the socket at once."""
        with self._lock:
            if not self._closed:
                CUT_STREAMS.labels(reason).inc()
            self._close()

    def _send_now(self, payload: bytes) -> int:
        try:
            return self._socket.send(payload)
        except BlockingIOError:
            return 0
        except OSError:
            self._lose('caller_gone')
            return 0

    def _queue(self, payload: bytes) -> None:
        self._waiting += payload
        if len(self._waiting) > self._limit_bytes:
            self._lose('slow_caller')
            return
        if not self._writer_runs:
            self._writer_runs = True
            threading.Thread(
                target=self._drain, name='slow-caller', daemon=True
            ).start()

    def _drain(self) -> None:
        sock = self._socket
        while True:
            with self._lock:
                payload = bytes(self._waiting)
                self._waiting.clear()
                if self._closed:
                    return
                if not payload:
                    self._writer_runs = False
                    if self._finished:
                        self._close()
                    else:
                        sock.setblocking(False)
                    return
            try:
                sock.settimeout(SLOW_SEND_TIMEOUT_SECONDS)
                sock.sendall(payload)
            except OSError:
                with self._lock:
                    self._lose('slow_caller')
                return

    def _lose(self, reason: str) -> None:
        if self._closed:
            return
        CUT_STREAMS.labels(reason).inc()
        self._close()
        if self.on_gone is not None:
            self.on_gone()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        OPEN_STREAMS.dec()
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug('entry: caller had gone')
        self._socket.close()
