"""Limits on the time in which a caller sends one request."""

import logging
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5


class ReadDeadline:
    """Hold until when a part of a request must be read."""

    def __init__(self, sock: socket.socket, at_seconds: float) -> None:
        self.sock = sock
        self.at_seconds = at_seconds
        self.expired = False


class ReadDeadlines:
    """End the reading from callers that send too slowly.

    The time-out of a socket starts anew with each byte, so that a caller that
    sends a byte now and then would hold a thread for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._deadlines: set[ReadDeadline] = set()
        self._is_running = False

    @contextmanager
    def limit(
        self, sock: socket.socket, seconds: float
    ) -> Iterator[ReadDeadline]:
        """Limit the time of the reads in a block."""
        deadline = ReadDeadline(sock, time.monotonic() + seconds)
        with self._lock:
            self._deadlines.add(deadline)
            if not self._is_running:
                self._is_running = True
                threading.Thread(
                    target=self._run, name='read deadlines', daemon=True
                ).start()
        try:
            yield deadline
        finally:
            with self._lock:
                self._deadlines.discard(deadline)

    def _run(self) -> None:
        while True:
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            with self._lock:
                for deadline in self._deadlines:
                    if not deadline.expired and deadline.at_seconds <= now:
                        _expire(deadline)


def _expire(deadline: ReadDeadline) -> None:
    deadline.expired = True
    logger.info('ingress: a caller sends its request too slowly')
    try:
        deadline.sock.shutdown(socket.SHUT_RD)
    except OSError as error:
        logger.debug('ingress: caller has closed its connection: %s', error)


read_deadlines = ReadDeadlines()
