"""Watch for callers that close their connection."""

import logging
import selectors
import threading
from collections.abc import Callable

from wasabistream.streams import CallerStream

logger = logging.getLogger(__name__)

POLL_SECONDS = 0.2


class HangupWatcher:
    """Notice callers that hang up while their answer is being made.

    A stream that waits in a queue writes nothing, so a failed write cannot
    tell that its caller has gone.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._run, name='hangups', daemon=True).start()

    def stop(self) -> None:
        """Stop the watching thread."""
        self._stopped.set()

    def watch(self, stream: CallerStream, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once when the caller closes its connection."""
        with self._lock:
            # A closed socket's descriptor may be in use again by this stream.
            self._drop_closed()
            if not stream.closed:
                stream.register(self._selector, on_gone)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            with self._lock:
                self._drop_closed()
                ready = self._selector.select(0)
            for key, _ in ready:
                stream, on_gone = key.data
                if stream.caller_left():
                    stream.abort('caller_gone')
                    on_gone()

    def _drop_closed(self) -> None:
        for key in list(self._selector.get_map().values()):
            stream, _ = key.data
            if stream.closed:
                self._selector.unregister(key.fileobj)
