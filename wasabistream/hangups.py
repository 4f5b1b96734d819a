"""Watch for callers that close their connection."""

import selectors
import socket
import threading

from wasabistream.streams import CallerStream

POLL_SECONDS = 0.2


class HangupWatcher:
    """Notice callers that hang up while their answer is being made.

    A stream that waits in a queue writes nothing, so a failed write cannot
    tell that its caller has gone. A stream is removed here before its
    descriptor is closed, so a reused descriptor never finds an old entry.
    Lock order: the stream's lock, then the lock of this watcher.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._streams: set[CallerStream] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._run, name='hangups', daemon=True).start()

    def stop(self) -> None:
        """Stop the watching thread."""
        self._stopped.set()

    def open_names(self) -> list[str]:
        """Return the names of streams whose sockets are still open."""
        with self._lock:
            return [stream.name for stream in self._streams]

    def add(self, sock: socket.socket, stream: CallerStream) -> None:
        """Start to watch a socket."""
        with self._lock:
            self._selector.register(sock, selectors.EVENT_READ, stream)
            self._streams.add(stream)

    def remove(self, sock: socket.socket, stream: CallerStream) -> None:
        """Stop to watch a socket that is about to be closed."""
        with self._lock:
            self._selector.unregister(sock)
            self._streams.discard(stream)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            with self._lock:
                ready = self._selector.select(0)
            for key, _ in ready:
                key.data.check_hangup()
