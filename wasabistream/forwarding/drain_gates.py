"""Gate for requests that reach an entry while it shuts down."""

import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.requests import ForwardRequest

# Time of one output token on a busy engine; a batch of 24 takes about 10 ms.
TOKEN_SECONDS = 0.02
# Time before the first token on a busy engine.
FIRST_TOKEN_SECONDS = 1.5


class DrainGate:
    """Take only requests that end before the process does.

    Callers whose request would be cut are sent to another entry at once.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._end_seconds: float | None = None

    def close(self, remaining_seconds: float) -> None:
        """Start to shut down; the process ends after this time."""
        with self._lock:
            self._end_seconds = self._clock() + remaining_seconds

    def admits(self, request: ForwardRequest) -> bool:
        """Tell whether a request ends in time."""
        if self._end_seconds is None:
            return True
        return self._clock() + longest_seconds(request) < self._end_seconds


def longest_seconds(request: ForwardRequest) -> float:
    """Return how long a request may take."""
    limit_seconds = request.deadline.remaining_seconds
    demand = request.demand
    if demand is None:
        return limit_seconds
    generation_seconds = (
        FIRST_TOKEN_SECONDS + demand.max_output_tokens * TOKEN_SECONDS
    )
    return min(limit_seconds, generation_seconds)
