"""Links, which carry messages between two processes over TCP."""

import errno
import logging
import os
import queue
import socket
import threading
import time
from collections.abc import Generator, Sequence
from typing import Protocol

from wasabistream.exceptions import FrameError, LinkError
from wasabistream.frames import FrameReader, encode_frame
from wasabistream.link_loops import link_loop
from wasabistream.link_waits import Connected, Readable, Wait
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.metrics import FRAME_ERRORS, LINK_BYTES
from wasabistream.notices import Heartbeat, Hello
from wasabistream.send_queues import Expiry, SendQueue

logger = logging.getLogger(__name__)

HEARTBEAT_FRAME = encode_frame(Heartbeat())
HEARTBEAT_INTERVAL_SECONDS = 2.0
# Three missed heartbeats.
SILENCE_LIMIT_SECONDS = 6.0
CONNECT_TIMEOUT_SECONDS = 2.0
# A larger buffer is mapped and unmapped by the allocator at each read, which
# took 14 us instead of 2 us for a small frame.
RECEIVE_BYTES = 64 * 1024
# Time for the peer to read the last frames of a link that closes gracefully.
GRACEFUL_CLOSE_LIMIT_SECONDS = 2.0


class LinkHandler(Protocol):
    """Handle the events of a link; called on the loop's thread."""

    def on_opened(self, link: 'Link') -> None:
        """Handle a link whose handshake is complete."""

    def on_messages(self, link: 'Link', received: Sequence[Message]) -> None:
        """Handle all messages from one read of the socket."""

    def on_closed(self, link: 'Link', reason: str) -> None:
        """Handle the end of the link."""


class Link:
    """Exchange messages with one peer; `start` runs its task on the loop."""

    def __init__(
        self,
        sock: socket.socket,
        hello: Hello,
        handler: LinkHandler,
        expected_peer_id: str = '',
    ) -> None:
        self.sock = sock
        self._hello = hello
        self._handler = handler
        self._expected_peer_id = expected_peer_id
        self._send_queue = SendQueue()
        self._closed = threading.Event()
        self._closing = threading.Event()
        # Bytes of the last batch that the socket has not taken yet.
        self._unsent = b''
        self._is_handshake_sent = False
        self._has_ended_sending = False
        self._last_sent_seconds = time.monotonic()
        self.peer = Hello(1, 1, '', str(sock.getpeername()), '', '')
        self.sent_bytes = 0
        self.received_bytes = 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def build(
        cls,
        sock: socket.socket,
        hello: Hello,
        handler: LinkHandler,
        expected_peer_id: str = '',
    ) -> 'Link':
        """Return a link; closes the socket and raises LinkError on failure."""
        try:
            return cls(sock, hello, handler, expected_peer_id)
        except OSError as error:
            link_loop.forget(sock)
            sock.close()
            raise LinkError(str(error), 'handshake') from error

    @property
    def closed(self) -> bool:
        """Tell whether the link has ended."""
        return self._closed.is_set()

    def start(self) -> None:
        """Run the link until it ends."""
        link_loop.spawn(self.run())

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
        link_loop.flush_soon(self)

    def run(self) -> Generator[Wait, None, bool]:
        """Read until the link ends; return whether its handshake succeeded."""
        reason = 'closed by peer'
        opened = False
        try:
            reader = FrameReader(self.peer.peer_id)
            received = yield from self._exchange_hellos(reader)
            opened = True
            link_loop.add_link(self)
            self._handler.on_opened(self)
            yield from self._read_messages(reader, received)
        except FrameError as error:
            FRAME_ERRORS.inc()
            reason = str(error)
        except (OSError, LinkError) as error:
            reason = str(error)
        finally:
            self._release()
            if opened:
                self._handler.on_closed(self, reason)
        return opened

    def flush(self) -> bool:
        """Send queued frames without blocking; return whether any is left.

        Called on the loop's thread.
        """
        if self.closed or not self._is_handshake_sent:
            return False
        try:
            while self._take_batch():
                sent_bytes = self.sock.send(self._unsent)
                self._unsent = self._unsent[sent_bytes:]
                self.sent_bytes += sent_bytes
                LINK_BYTES.labels('sent').inc(sent_bytes)
                self._last_sent_seconds = time.monotonic()
            if self._has_ended_sending:
                self._has_ended_sending = False
                self.sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return True
        except OSError as error:
            logger.info('link: send to %s failed: %s', self.peer.peer_id, error)
            self.close()
        return False

    def send_heartbeat_if_due(self, now: float) -> None:
        """Send a heartbeat when it is due, without blocking."""
        if self._unsent or now - self._last_sent_seconds < (
            HEARTBEAT_INTERVAL_SECONDS
        ):
            return
        self._unsent = HEARTBEAT_FRAME
        link_loop.flush_soon(self)

    def close_gracefully(self) -> None:
        """Send what is queued, then close; blocks for a bounded time.

        Closing a socket with unread input resets the connection, and the
        peer would lose frames that it has not read yet. So only the sending
        side is shut down, and the reader goes on until the peer closes. Must
        not be called on the loop's thread.
        """
        if self.closed:
            return
        self._closing.set()
        try:
            self._send_queue.end(GRACEFUL_CLOSE_LIMIT_SECONDS)
        except queue.Full:
            logger.info('link: queue to %s is full', self.peer.peer_id)
        link_loop.flush_soon(self)
        self._closed.wait(GRACEFUL_CLOSE_LIMIT_SECONDS)
        self.close()

    def close(self) -> None:
        """Shut the socket down, which ends the task of the link."""
        if self.closed:
            return
        self._closed.set()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            logger.debug('link: %s was closed already', self.peer.peer_id)

    def _release(self) -> None:
        self.close()
        link_loop.remove_link(self)
        link_loop.forget(self.sock)
        self.sock.close()

    def _take_batch(self) -> bool:
        """Return whether there are bytes to send, from a new batch if due."""
        if self._unsent:
            return True
        batch = self._send_queue.take()
        if batch is None:
            return False
        for expiry in batch.expired:
            expiry.on_expired()
        self._has_ended_sending = batch.ended
        self._unsent = batch.joined
        return bool(self._unsent) or (
            not self._has_ended_sending and self._take_batch()
        )

    def _exchange_hellos(
        self, reader: FrameReader
    ) -> Generator[Wait, None, list[Message]]:
        self._unsent = encode_frame(self._hello)
        self._is_handshake_sent = True
        link_loop.flush_soon(self)
        received: list[Message] = []
        while not received:
            received = reader.feed((yield from self._receive()))
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

    def _receive(self) -> Generator[Wait, None, bytes]:
        received = b''
        while not received:
            try:
                yield Readable(self.sock, SILENCE_LIMIT_SECONDS)
                received = self.sock.recv(RECEIVE_BYTES)
            except TimeoutError:
                raise LinkError(
                    'peer is silent', 'receive', self.peer.peer_id
                ) from None
            except BlockingIOError:
                continue
            if not received:
                raise LinkError('closed by peer', 'receive', self.peer.peer_id)
        self.received_bytes += len(received)
        LINK_BYTES.labels('received').inc(len(received))
        return received

    def _read_messages(
        self, reader: FrameReader, received: list[Message]
    ) -> Generator[Wait, None, None]:
        while True:
            if received:
                self._handler.on_messages(self, received)
            received = reader.feed((yield from self._receive()))


def connect(address: str, port: int) -> Generator[Wait, None, socket.socket]:
    """Open a socket to a peer; raises LinkError."""
    peer = f'{address}:{port}'
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        error_number = sock.connect_ex((address, port))
        if error_number == errno.EINPROGRESS:
            yield Connected(sock, CONNECT_TIMEOUT_SECONDS)
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))
    # Of a port out of range or an address that cannot be encoded.
    except (OSError, OverflowError, TypeError) as error:
        link_loop.forget(sock)
        sock.close()
        raise LinkError(str(error), 'connect', peer) from error
    return sock
