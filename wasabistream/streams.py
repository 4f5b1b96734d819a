"""Non-blocking writes to the sockets of callers."""

import logging
import select
import socket
import threading
from collections.abc import Callable
from typing import Protocol

from wasabistream.metrics import CUT_STREAMS, OPEN_STREAMS

logger = logging.getLogger(__name__)

# The connection of a caller that takes no bytes for this time is cut.
SLOW_CALLER_TIMEOUT_SECONDS = 30.0
# Most bytes that a writer thread sends at a time.
MAX_SEND_BYTES = 64 * 1024
# Most bytes of unread input that are read and discarded at a time.
MAX_DISCARD_BYTES = 4096


class SocketWatcher(Protocol):
    """Watch the sockets of streams for callers that close the connection."""

    def add(self, sock: socket.socket, stream: 'CallerStream') -> None:
        """Start watching a socket."""

    def remove(self, sock: socket.socket, stream: 'CallerStream') -> None:
        """Stop watching a socket, before it is closed."""


class CallerStream:
    """Write bytes to a caller without blocking the thread that writes.

    While the socket buffer of a slow caller is full, bytes are queued and a
    writer thread of the stream sends them. To cut a stream is to close it
    before its end. It is cut by a write while more than `limit_bytes` are
    queued, and when the caller has gone.
    """

    def __init__(
        self,
        sock: socket.socket,
        limit_bytes: int,
        name: str = '',
        on_closed: Callable[[], None] | None = None,
    ) -> None:
        # Request id, for reports of work in progress.
        self.name = name
        self._on_closed = on_closed
        self._socket = sock
        self._limit_bytes = limit_bytes
        # Called once when the caller has gone or is too slow, not on `abort`.
        # The engine stand-in sets none, because it goes on generating.
        self.on_caller_lost: Callable[[], None] | None = None
        self._lock = threading.Lock()
        self._queued = bytearray()
        self._has_writer_thread = False
        self._finish_requested = False
        self._closed = False
        self._watcher: SocketWatcher | None = None
        sock.setblocking(False)
        OPEN_STREAMS.inc()

    @property
    def closed(self) -> bool:
        """Tell whether the stream is closed; writes are ignored then."""
        return self._closed

    def watch(self, watcher: SocketWatcher) -> None:
        """Let a watcher call `check_hangup` when the caller hangs up."""
        with self._lock:
            if not self._closed:
                watcher.add(self._socket, self)
                self._watcher = watcher

    def check_hangup(self) -> None:
        """Close the stream if the caller has closed its connection."""
        with self._lock:
            closed_now = (
                not self._closed and self._discard_input_and_check_closed()
            )
            if closed_now:
                self._cut('caller_gone')
        if closed_now:
            self._notify_caller_lost()

    def write(self, payload: bytes) -> None:
        """Send what fits in the socket buffer and queue the rest."""
        with self._lock:
            if self._closed:
                return
            if not self._has_writer_thread:
                payload = payload[self._send_now(payload) :]
            if payload and not self._closed:
                self._enqueue(payload)
            closed_now = self._closed
        if closed_now:
            self._notify_caller_lost()

    def finish(self) -> None:
        """Close the connection once all queued bytes have been sent."""
        with self._lock:
            self._finish_requested = True
            if not self._has_writer_thread:
                self._close()

    def abort(self, reason: str) -> None:
        """Cut the connection at once and drop queued bytes."""
        with self._lock:
            self._cut(reason)

    def _discard_input_and_check_closed(self) -> bool:
        # True if the caller has closed the connection.
        try:
            return not self._socket.recv(MAX_DISCARD_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _send_now(self, payload: bytes) -> int:
        try:
            return self._socket.send(payload)
        except BlockingIOError:
            return 0
        except OSError:
            self._cut('caller_gone')
            return 0

    def _enqueue(self, payload: bytes) -> None:
        # Only bytes queued by earlier writes count, so that a whole answer of
        # any size can be written at once.
        if len(self._queued) > self._limit_bytes:
            self._cut('slow_caller')
            return
        self._queued += payload
        if not self._has_writer_thread:
            self._has_writer_thread = True
            threading.Thread(
                target=self._write_queued, name='slow-caller', daemon=True
            ).start()

    def _write_queued(self) -> None:
        poller = select.poll()
        poller.register(self._socket, select.POLLOUT)
        while True:
            with self._lock:
                part = bytes(self._queued[:MAX_SEND_BYTES])
                if self._closed or not part:
                    self._end_writer_thread()
                    return
            if not poller.poll(SLOW_CALLER_TIMEOUT_SECONDS * 1000):
                self._cut_slow_caller()
                return
            try:
                sent_bytes = self._socket.send(part)
            except BlockingIOError:
                continue
            except OSError:
                self._cut_slow_caller()
                return
            with self._lock:
                # Removed only now, so that the limit also counted the bytes
                # being sent.
                self._queued = self._queued[sent_bytes:]

    def _end_writer_thread(self) -> None:
        self._has_writer_thread = False
        if self._closed:
            self._close_descriptor()
        elif self._finish_requested:
            self._close()

    def _cut_slow_caller(self) -> None:
        with self._lock:
            closed_now = not self._closed
            self._cut('slow_caller')
            self._has_writer_thread = False
            self._close_descriptor()
        if closed_now:
            self._notify_caller_lost()

    def _notify_caller_lost(self) -> None:
        # Called without the lock, because the callback takes other locks.
        if self.on_caller_lost is not None:
            self.on_caller_lost()

    def _cut(self, reason: str) -> None:
        if not self._closed:
            CUT_STREAMS.labels(reason).inc()
            self._close()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._queued.clear()
        OPEN_STREAMS.dec()
        if self._on_closed is not None:
            self._on_closed()
        try:
            self._shut_down()
        except OSError:
            logger.debug(
                'entry: shutdown failed, connection was closed already'
            )
        # A writer thread may be about to send. If the descriptor was closed
        # now, another connection could reuse it and get those bytes.
        if not self._has_writer_thread:
            self._close_descriptor()

    def _shut_down(self) -> None:
        # Closing a socket with unread input resets the connection, and the
        # caller could lose the end of its answer, so input is read first.
        if not self._has_writer_thread:
            self._discard_input_and_check_closed()
        self._socket.shutdown(socket.SHUT_RDWR)

    def _close_descriptor(self) -> None:
        if self._watcher is not None:
            self._watcher.remove(self._socket, self)
            self._watcher = None
        self._socket.close()
