"""Stand-in server that answers with arbitrary bytes."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

REQUEST_BYTES = 65536
ANSWER_HEAD = (
    b'HTTP/1.1 200 OK\r\nWasabistream-Request-Attempt-Id: r1\r\n'
    b'Wasabistream-Response-Seal: s\r\n'
)
# Stops a test that would otherwise send until its memory is full.
MAX_SENT_BYTES = 256 * 1024 * 1024


class ByteServer:
    """Accept connections and answer each request by calling a function."""

    def __init__(self, respond: Callable[['ByteServer', socket.socket], None]):
        self._respond = respond
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port: int = self._listener.getsockname()[1]
        # A request may arrive in several reads, each of which counts.
        self.request_count = 0
        self.connection_count = 0
        self.sent_bytes = 0
        # Set once the client has closed a connection that was being sent to.
        self.cut = threading.Event()
        self.stopped = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections and end the answers."""
        self.stopped.set()
        # Wakes the thread that accepts, without which the port stays open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def send_repeatedly(
        self, sock: socket.socket, piece: bytes, pause_seconds: float = 0
    ) -> None:
        """Send a piece until the client closes the connection."""
        while self.sent_bytes < MAX_SENT_BYTES:
            try:
                sock.sendall(piece)
            except OSError:
                self.cut.set()
                return
            self.sent_bytes += len(piece)
            if self.stopped.wait(pause_seconds):
                return

    def _accept(self) -> None:
        while not self.stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock:
            try:
                while sock.recv(REQUEST_BYTES):
                    self.request_count += 1
                    self._respond(self, sock)
            except OSError:
                # The client has closed the connection.
                self.cut.set()


@contextmanager
def serve_bytes(
    respond: Callable[[ByteServer, socket.socket], None],
) -> Iterator[ByteServer]:
    """Run a server for the length of a block."""
    server = ByteServer(respond)
    try:
        yield server
    finally:
        server.stop()


def send_once(raw: bytes) -> Callable[[ByteServer, socket.socket], None]:
    """Return a function that sends bytes and ends the connection."""

    def respond(server: ByteServer, sock: socket.socket) -> None:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)

    return respond


def send_until(
    raw: bytes, monotonic_seconds: float
) -> Callable[[ByteServer, socket.socket], None]:
    """Return a function that sends bytes and ends the connection later."""

    def respond(server: ByteServer, sock: socket.socket) -> None:
        sock.sendall(raw)
        server.stopped.wait(monotonic_seconds - time.monotonic())
        sock.shutdown(socket.SHUT_WR)

    return respond


def send_endless(
    head: bytes, piece: bytes, pause_seconds: float = 0
) -> Callable[[ByteServer, socket.socket], None]:
    """Return a function that sends a head and a piece without end."""

    def respond(server: ByteServer, sock: socket.socket) -> None:
        sock.sendall(head)
        server.send_repeatedly(sock, piece, pause_seconds)

    return respond
