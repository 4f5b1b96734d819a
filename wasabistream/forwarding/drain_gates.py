"""Admission of requests while an entry drains."""

import math
import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.requests import ForwardRequest

# For this long after draining begins, requests that may be cut at its end are
# admitted too, unless most of the other entries still serve.
NO_PEER_ADMISSION_SECONDS = 2.7


class DrainGate:
    """Admit only requests that can finish before the process ends.

    Callers whose requests would be cut are refused at once, so that they can
    turn to another entry.
    """

    def __init__(
        self,
        is_majority_serving: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._is_majority_serving = is_majority_serving
        self._clock = clock
        self._lock = threading.Lock()
        self._end_seconds: float | None = None
        self._no_peer_end_seconds = 0.0

    @property
    def is_closed(self) -> bool:
        """Return whether the entry is draining."""
        return self._end_seconds is not None

    def close(self, remaining_seconds: float) -> None:
        """Start draining; the process ends after this many seconds."""
        with self._lock:
            self._no_peer_end_seconds = (
                self._clock() + NO_PEER_ADMISSION_SECONDS
            )
            self._end_seconds = self._clock() + remaining_seconds

    def end(self) -> None:
        """Admit nothing more, as the process cuts what is in progress."""
        with self._lock:
            self._end_seconds = -math.inf
            self._no_peer_end_seconds = -math.inf

    def admits(self, request: ForwardRequest) -> bool:
        """Return whether a request ends in time or no other entry takes it."""
        if self._end_seconds is None:
            return True
        now = self._clock()
        # Only the deadline bounds a request: neither the queue of its server
        # nor the length of a generation is known.
        if now + request.deadline.remaining_seconds < self._end_seconds:
            return True
        return (
            now < self._no_peer_end_seconds and not self._is_majority_serving()
        )
