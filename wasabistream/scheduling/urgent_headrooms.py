"""Memory that less urgent generations leave free for urgent ones."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.requests import ForwardRequest

# A route without a request for longer keeps no memory free.
ROUTE_AGE_LIMIT_SECONDS = 10.0
SAMPLE_WEIGHT = 0.1
# Most of an engine's memory that is left free for urgent requests.
MAX_HEADROOM_RATIO = 0.25


@dataclass(slots=True)
class _RouteSize:
    tokens: float
    seen_at_seconds: float


class UrgentHeadroom:
    """Learn the size of urgent generations of each service.

    Engines that are good for long generations are filled with these. Without
    free memory for one urgent request there, all of them go to the other
    engines and pause the streams there.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # By service and route priority.
        self._sizes: dict[tuple[str, int], _RouteSize] = {}

    def record(self, request: ForwardRequest) -> None:
        """Record a generation that is sent."""
        if request.demand is None:
            return
        tokens = max(request.demand.expected_tokens, 0)
        key = request.service, request.route.priority
        with self._lock:
            size = self._sizes.setdefault(key, _RouteSize(tokens, 0))
            size.tokens += SAMPLE_WEIGHT * (tokens - size.tokens)
            size.seen_at_seconds = self._clock()

    def find_tokens(self, request: ForwardRequest) -> int:
        """Return the memory to leave free; 0 for the most urgent requests."""
        oldest = self._clock() - ROUTE_AGE_LIMIT_SECONDS
        with self._lock:
            urgent_tokens = [
                size.tokens
                for (service, priority), size in self._sizes.items()
                if service == request.service
                and priority < request.route.priority
                and size.seen_at_seconds >= oldest
            ]
        return int(max(urgent_tokens, default=0))
