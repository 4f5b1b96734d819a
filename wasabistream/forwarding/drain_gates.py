"""Gate for requests that reach an entry while it shuts down."""

import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.requests import ForwardRequest

# Time of one output token on a busy engine; a batch of 24 takes about 10 ms.
TOKEN_SECONDS = 0.02
# Requests of this first time may be cut at the end of the grace time when no
# other entry can take them.
NO_PEER_ADMISSION_SECONDS = 2.7
# Time before the first token on a busy engine.
FIRST_TOKEN_SECONDS = 1.5


class DrainGate:
    """Take only requests that end before the process does.

    Callers whose request would be cut are sent to another entry at once.
    """

    def __init__(
        self,
        is_majority_serving: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._others_serve = is_majority_serving
        self._clock = clock
        self._lock = threading.Lock()
        self._end_seconds: float | None = None
        self._no_peer_end_seconds = 0.0

    @property
    def is_closed(self) -> bool:
        """Tell whether the entry shuts down."""
        return self._end_seconds is not None

    def close(self, remaining_seconds: float) -> None:
        """Start to shut down; the process ends after this time."""
        with self._lock:
            self._no_peer_end_seconds = (
                self._clock() + NO_PEER_ADMISSION_SECONDS
            )
            self._end_seconds = self._clock() + remaining_seconds

    def admits(self, request: ForwardRequest) -> bool:
        """Tell whether a request ends in time or has nowhere else to go."""
        if self._end_seconds is None:
            return True
        now = self._clock()
        if now + max_duration_seconds(request) < self._end_seconds:
            return True
        return now < self._no_peer_end_seconds and not self._others_serve()


def max_duration_seconds(request: ForwardRequest) -> float:
    """Return how long a request may take."""
    limit_seconds = request.deadline.remaining_seconds
    demand = request.demand
    if demand is None:
        return limit_seconds
    generation_seconds = (
        FIRST_TOKEN_SECONDS + demand.max_output_tokens * TOKEN_SECONDS
    )
    return min(limit_seconds, generation_seconds)
