"""Links, which carry messages between two processes over TCP."""

import logging
import queue
import select
import socket
import threading
import time
from collections.abc import Sequence
from typing import Protocol

from wasabistream.exceptions import FrameError, LinkError
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.heartbeats import HEARTBEAT_INTERVAL_SECONDS, heartbeat_sender
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.metrics import FRAME_ERRORS, LINK_BYTES
from wasabistream.notices import Heartbeat, Hello
from wasabistream.send_queues import Expiry, FrameBatch, SendQueue

logger = logging.getLogger(__name__)

HEARTBEAT_FRAME = encode_frame(Heartbeat())
# Three missed heartbeats.
SILENCE_LIMIT_SECONDS = 6.0
CONNECT_TIMEOUT_SECONDS = 2.0
# A larger buffer is mapped and unmapped by the allocator at each read, which
# took 14 us instead of 2 us for a small frame.
RECEIVE_BYTES = 64 * 1024
# Time for the peer to read the last frames of a link that closes gracefully.
GRACEFUL_CLOSE_LIMIT_SECONDS = 2.0


class LinkHandler(Protocol):
    """Handle the events of a link; called on its reader thread."""

    def on_opened(self, link: 'Link') -> None:
        """Handle a link whose handshake is complete."""

    def on_messages(self, link: 'Link', received: Sequence[Message]) -> None:
        """Handle all messages from one read of the socket."""

    def on_closed(self, link: 'Link', reason: str) -> None:
        """Handle the end of the link."""


class Link:
    """Exchange messages with one peer; the thread in `run` reads."""

    def __init__(
        self,
        sock: socket.socket,
        hello: Hello,
        handler: LinkHandler,
        expected_peer_id: str = '',
    ) -> None:
        self._socket = sock
        self._hello = hello
        self._handler = handler
        self._expected_peer_id = expected_peer_id
        self._send_queue = SendQueue()
        self._closed = threading.Event()
        self._closing = threading.Event()
        # Held while bytes go to the socket, so that frames stay whole.
        self._send_lock = threading.Lock()
        self._last_sent_seconds = time.monotonic()
        self.peer = Hello(1, 1, '', str(sock.getpeername()), '', '')
        self.sent_bytes = 0
        self.received_bytes = 0
        sock.settimeout(SILENCE_LIMIT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def closed(self) -> bool:
        """Tell whether the link has ended."""
        return self._closed.is_set()

    def send(self, message: Message, expiry: Expiry | None = None) -> None:
        """Queue a message.

        Raises LinkError when the link is closed or its queue is full.
        """
        if self.closed or self._closing.is_set():
            raise LinkError('link is closed', 'send', self.peer.peer_id)
        try:
            self._send_queue.put(encode_frame(message), expiry)
        except queue.Full:
            self.close()
            raise LinkError(
                'send queue is full', 'send', self.peer.peer_id
            ) from None

    def run(self) -> bool:
        """Read until the link ends; tell whether its handshake succeeded."""
        reason = 'closed by peer'
        opened = False
        try:
            reader = FrameReader(self.peer.peer_id)
            received = self._exchange_hellos(reader)
            writer = threading.Thread(
                target=self._write_batches, name=f'write-{self.peer.peer_id}'
            )
            writer.daemon = True
            writer.start()
            opened = True
            heartbeat_sender.add(self)
            self._handler.on_opened(self)
            self._read_messages(reader, received)
        except FrameError as error:
            FRAME_ERRORS.inc()
            reason = str(error)
        except (OSError, LinkError) as error:
            reason = str(error)
        finally:
            self.close()
            if opened:
                self._handler.on_closed(self, reason)
        return opened

    def send_heartbeat_if_due(self, now: float) -> None:
        """Send a heartbeat when it is due, without blocking."""
        if now - self._last_sent_seconds < HEARTBEAT_INTERVAL_SECONDS:
            return
        if not self._send_lock.acquire(blocking=False):
            # The writer thread is sending, which serves as a heartbeat.
            return
        try:
            if self._is_writable():
                self._socket.send(HEARTBEAT_FRAME)
                self._last_sent_seconds = now
        except (OSError, ValueError) as error:
            logger.info('link: %s lost: %s', self.peer.peer_id, error)
            self.close()
            return
        finally:
            self._send_lock.release()
        self.sent_bytes += len(HEARTBEAT_FRAME)
        LINK_BYTES.labels('sent').inc(len(HEARTBEAT_FRAME))

    def close_gracefully(self) -> None:
        """Send what is queued, then close; blocks for a bounded time.

        Closing a socket with unread input resets the connection, and the
        peer would lose frames that it has not read yet. So only the sending
        side is shut down, and the reader goes on until the peer closes.
        """
        if self.closed:
            return
        self._closing.set()
        try:
            self._send_queue.end(GRACEFUL_CLOSE_LIMIT_SECONDS)
        except queue.Full:
            logger.info('link: queue to %s is full', self.peer.peer_id)
        self._closed.wait(GRACEFUL_CLOSE_LIMIT_SECONDS)
        self.close()

    def close(self) -> None:
        """Close the socket and let both threads end."""
        if self.closed:
            return
        self._closed.set()
        heartbeat_sender.remove(self)
        try:
            self._send_queue.end()
        except queue.Full:
            logger.debug(
                'link: queue to %s is full at close', self.peer.peer_id
            )
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug('link: %s was closed already', self.peer.peer_id)
        self._socket.close()

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        return bool(poll.poll(0))

    def _exchange_hellos(self, reader: FrameReader) -> list[Message]:
        self._socket.sendall(encode_frame(self._hello))
        received: list[Message] = []
        while not received:
            received = reader.feed(self._receive())
        peer = received[0]
        if not isinstance(peer, Hello):
            raise LinkError('first message is not hello', 'handshake')
        if (
            peer.version_min > PROTOCOL_VERSION_MAX
            or peer.version_max < PROTOCOL_VERSION_MIN
        ):
            raise LinkError('no common version', 'handshake', peer.peer_id)
        if self._expected_peer_id not in ('', peer.peer_id):
            raise LinkError(
                f'expected peer {self._expected_peer_id}',
                'handshake',
                peer.peer_id,
            )
        self.peer = peer
        return received[1:]

    def _receive(self) -> bytes:
        try:
            received = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise LinkError(
                'peer is silent', 'receive', self.peer.peer_id
            ) from None
        if not received:
            raise LinkError('closed by peer', 'receive', self.peer.peer_id)
        self.received_bytes += len(received)
        LINK_BYTES.labels('received').inc(len(received))
        return received

    def _read_messages(
        self, reader: FrameReader, received: list[Message]
    ) -> None:
        while True:
            if received:
                self._handler.on_messages(self, received)
            received = reader.feed(self._receive())

    def _write_batches(self) -> None:
        while self._send_batch(self._send_queue.take()):
            self._last_sent_seconds = time.monotonic()

    def _send_batch(self, batch: FrameBatch) -> bool:
        try:
            with self._send_lock:
                self._socket.sendall(batch.joined)
            if batch.ended and not self.closed:
                self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            logger.info('link: send to %s failed: %s', self.peer.peer_id, error)
            self.close()
            return False
        self.sent_bytes += len(batch.joined)
        LINK_BYTES.labels('sent').inc(len(batch.joined))
        for expiry in batch.expired:
            expiry.on_expired()
        return not batch.ended


def connect(address: str, port: int) -> socket.socket:
    """Open a socket to a peer; raises LinkError."""
    try:
        return socket.create_connection(
            (address, port), timeout=CONNECT_TIMEOUT_SECONDS
        )
    except OSError as error:
        raise LinkError(str(error), 'connect', f'{address}:{port}') from error
