"""Arrivals of generations at this entry, by service and route."""

import threading
from collections import deque
from dataclasses import dataclass, field

from wasabistream.forwarding.requests import ForwardRequest

# Window of the arrival rate. The demand for short answers rises for 4 s.
RATE_WINDOW_SECONDS = 4.0
# Arrivals within this time keep room for one request free.
RECENT_SECONDS = 10.0
# Headroom covers the demand of the next second.
MAX_ENGINE_SECONDS = 1.0
# Bounds the memory of a route; 10 s at 400 requests per second.
MAX_ARRIVAL_COUNT = 4096
# Callers may state any number of tokens; sums of larger ones exceed a float.
MAX_REQUEST_TOKENS = 2**31


@dataclass(frozen=True, slots=True)
class UrgentNeed:
    """Describe the memory that more urgent requests of an entry need."""

    # Tokens in use at a time by those that arrive at this entry.
    tokens: float = 0
    # Mean of one request; 0 if none has arrived recently.
    request_tokens: float = 0


NO_NEED = UrgentNeed()


@dataclass(slots=True)
class _RouteArrivals:
    priority: int = 0
    # Time that a generation occupies memory within the next second.
    engine_seconds: float = MAX_ENGINE_SECONDS
    # Time and expected tokens of each arrival.
    arrivals: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_ARRIVAL_COUNT)
    )

    def trim(self, now_seconds: float) -> None:
        """Remove arrivals that are not recent."""
        oldest_seconds = now_seconds - RECENT_SECONDS
        while self.arrivals and self.arrivals[0][0] < oldest_seconds:
            self.arrivals.popleft()

    def needed_tokens(self, now_seconds: float) -> float:
        """Return the tokens in use at a time: rate x tokens x time in use."""
        oldest_seconds = now_seconds - RATE_WINDOW_SECONDS
        arrived_tokens = sum(
            tokens
            for at_seconds, tokens in self.arrivals
            if at_seconds >= oldest_seconds
        )
        return arrived_tokens / RATE_WINDOW_SECONDS * self.engine_seconds


class UrgentArrivals:
    """Learn what generations of each route arrive; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._routes: dict[tuple[str, str], _RouteArrivals] = {}

    def record(self, request: ForwardRequest, now_seconds: float) -> None:
        """Record the arrival of a generation."""
        if request.demand is None:
            return
        route = request.route
        tokens = min(max(request.demand.expected_tokens, 0), MAX_REQUEST_TOKENS)
        with self._lock:
            group = self._routes.setdefault(
                (request.service, route.name), _RouteArrivals()
            )
            # A new configuration may have changed the route.
            group.priority = route.priority
            group.engine_seconds = min(
                route.target_latency_seconds, MAX_ENGINE_SECONDS
            )
            group.trim(now_seconds)
            group.arrivals.append((now_seconds, tokens))

    def need(
        self, service: str, route_priority: int, now_seconds: float
    ) -> UrgentNeed:
        """Return the need of routes that are more urgent than a priority."""
        with self._lock:
            groups = [
                group
                for (group_service, _), group in self._routes.items()
                if group_service == service and group.priority < route_priority
            ]
            for urgent in groups:
                urgent.trim(now_seconds)
            tokens = sum(
                urgent_group.needed_tokens(now_seconds)
                for urgent_group in groups
            )
            recent_tokens = [
                arrival_tokens
                for recent_group in groups
                for _, arrival_tokens in recent_group.arrivals
            ]
        if not recent_tokens:
            return NO_NEED
        return UrgentNeed(tokens, sum(recent_tokens) / len(recent_tokens))
