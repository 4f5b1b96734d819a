"""Token path from a link to the socket of a caller."""

import logging
import select
import socket
import threading
from collections.abc import Callable
from typing import Protocol

from wasabistream.metrics import CUT_STREAMS, OPEN_STREAMS

logger = logging.getLogger(__name__)

SLOW_SEND_TIMEOUT_SECONDS = 30.0
# Largest part that a writer thread takes from the queue at a time.
SLOW_SEND_BYTES = 64 * 1024
DISCARD_BYTES = 4096


class SocketWatcher(Protocol):
    """Watch sockets of streams for the end of their connections."""

    def add(self, sock: socket.socket, stream: 'CallerStream') -> None:
        """Start to watch a socket."""

    def remove(self, sock: socket.socket, stream: 'CallerStream') -> None:
        """Stop to watch a socket that is about to be closed."""


class CallerStream:
    """Write bytes to a caller without blocking the writing thread.

    A caller whose socket is full gets its own writer thread, and is cut when
    more than the limit waits for it.
    """

    def __init__(
        self,
        sock: socket.socket,
        limit_bytes: int,
        name: str = '',
        on_closed: Callable[[], None] | None = None,
    ) -> None:
        self.name = name
        self._on_closed = on_closed
        self._socket = sock
        self._limit_bytes = limit_bytes
        # Called once when the caller is lost; an engine goes on without one.
        self.on_caller_gone: Callable[[], None] | None = None
        self._lock = threading.Lock()
        self._waiting = bytearray()
        self._writer_runs = False
        self._finished = False
        self._closed = False
        self._watcher: SocketWatcher | None = None
        sock.setblocking(False)
        OPEN_STREAMS.inc()

    @property
    def closed(self) -> bool:
        """Tell whether the stream takes no more bytes."""
        return self._closed

    def watch(self, watcher: SocketWatcher) -> None:
        """Let a watcher tell when the caller hangs up."""
        with self._lock:
            if not self._closed:
                watcher.add(self._socket, self)
                self._watcher = watcher

    def check_hangup(self) -> None:
        """Close the stream when the caller has closed its connection."""
        with self._lock:
            lost = not self._closed and self._peer_closed()
            if lost:
                self._cut('caller_gone')
        if lost:
            self._tell_gone()

    def write(self, payload: bytes) -> None:
        """Send now what fits and leave the rest to a writer thread."""
        with self._lock:
            if self._closed:
                return
            if not self._writer_runs:
                payload = payload[self._send_now(payload) :]
            if payload and not self._closed:
                self._queue(payload)
            lost = self._closed
        if lost:
            self._tell_gone()

    def finish(self) -> None:
        """Close the socket once everything has been sent."""
        with self._lock:
            self._finished = True
            if not self._writer_runs:
                self._close()

    def abort(self, reason: str) -> None:
        """Close the connection at once."""
        with self._lock:
            self._cut(reason)

    def _peer_closed(self) -> bool:
        try:
            return not self._socket.recv(DISCARD_BYTES, socket.MSG_DONTWAIT)
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

    def _queue(self, payload: bytes) -> None:
        # The limit holds for what waits already, so that one whole answer
        # of any size can be written.
        if len(self._waiting) > self._limit_bytes:
            self._cut('slow_caller')
            return
        self._waiting += payload
        if not self._writer_runs:
            self._writer_runs = True
            threading.Thread(
                target=self._drain, name='slow-caller', daemon=True
            ).start()

    def _drain(self) -> None:
        poller = select.poll()
        poller.register(self._socket, select.POLLOUT)
        while True:
            with self._lock:
                part = bytes(self._waiting[:SLOW_SEND_BYTES])
                if self._closed or not part:
                    self._end_drain()
                    return
            if not poller.poll(SLOW_SEND_TIMEOUT_SECONDS * 1000):
                self._lose_slow()
                return
            try:
                sent_bytes = self._socket.send(part)
            except BlockingIOError:
                continue
            except OSError:
                self._lose_slow()
                return
            with self._lock:
                # What was sent counts as waiting until here, which keeps
                # the limit exact.
                self._waiting = self._waiting[sent_bytes:]

    def _end_drain(self) -> None:
        self._writer_runs = False
        if self._closed:
            self._release()
        elif self._finished:
            self._close()

    def _lose_slow(self) -> None:
        with self._lock:
            lost = not self._closed
            self._cut('slow_caller')
            self._writer_runs = False
            self._release()
        if lost:
            self._tell_gone()

    def _tell_gone(self) -> None:
        # Without the lock, because the handler takes locks of its own.
        if self.on_caller_gone is not None:
            self.on_caller_gone()

    def _cut(self, reason: str) -> None:
        if not self._closed:
            CUT_STREAMS.labels(reason).inc()
            self._close()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._waiting.clear()
        OPEN_STREAMS.dec()
        if self._on_closed is not None:
            self._on_closed()
        try:
            self._shut_down()
        except OSError:
            logger.debug('entry: caller had gone')
        # A writer thread may be inside a send: a descriptor that is closed
        # now could be given to another caller before that send starts.
        if not self._writer_runs:
            self._release()

    def _shut_down(self) -> None:
        # Unread bytes at close reset the connection, and the caller could
        # lose the end of its answer.
        if not self._writer_runs:
            self._peer_closed()
        self._socket.shutdown(socket.SHUT_RDWR)

    def _release(self) -> None:
        if self._watcher is not None:
            self._watcher.remove(self._socket, self)
            self._watcher = None
        self._socket.close()
