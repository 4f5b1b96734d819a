"""Detection of callers that close their connection."""

import selectors
import socket
import threading

from wasabistream.streams import CallerStream

POLL_SECONDS = 0.2


class HangupWatcher:
    """Detect callers that hang up before their answer has ended.

    While a request is queued nothing is written to its caller, so no failed
    write shows that the caller has gone. A stream removes its socket before
    it closes the descriptor, so that the descriptor can be registered again
    when it is reused. Lock order: the lock of the stream, then that of the
    watcher.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._streams: set[CallerStream] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the thread that polls the sockets."""
        threading.Thread(target=self._run, name='hangups', daemon=True).start()

    def stop(self) -> None:
        """Stop the thread that polls the sockets."""
        self._stopped.set()

    def open_stream_names(self) -> list[str]:
        """Return the names of the watched streams, whose sockets are open."""
        with self._lock:
            return [stream.name for stream in self._streams]

    def add(self, sock: socket.socket, stream: CallerStream) -> None:
        """Start watching a socket."""
        with self._lock:
            self._selector.register(sock, selectors.EVENT_READ, stream)
            self._streams.add(stream)

    def remove(self, sock: socket.socket, stream: CallerStream) -> None:
        """Stop watching a socket, before it is closed."""
        with self._lock:
            self._selector.unregister(sock)
            self._streams.discard(stream)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            with self._lock:
                ready = self._selector.select(0)
            for key, _ in ready:
                key.data.check_hangup()
