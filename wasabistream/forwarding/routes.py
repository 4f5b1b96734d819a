"""Routes of a routing configuration."""

import random
from dataclasses import dataclass
from enum import StrEnum


class RouteKind(StrEnum):
    """State whether requests of a route are repeatable or streamed."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True, slots=True)
class Destination:
    """Describe one service of a route and its share of the traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe how requests under one host and path prefix are forwarded."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_seconds: float
    target_latency_seconds: float
    # 0 is the most urgent.
    priority: int
    destinations: tuple[Destination, ...]
    max_attempt_count: int
    # Whether requests need no API key.
    public: bool
    # Whether a new generation may continue a stream after its last event.
    resumable: bool
    # Longest pause between events of a stream in time; 0 if not given.
    target_gap_seconds: float = 0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind == RouteKind.idempotent or self.resumable

    def draw_service(self) -> str:
        """Return a randomly chosen service, weighted by traffic share."""
        weights = [destination.weight for destination in self.destinations]
        chosen = random.choices(self.destinations, weights)
        return chosen[0].service

    def main_service(self) -> str:
        """Return the service with the largest traffic share."""
        return max(
            self.destinations, key=lambda destination: destination.weight
        ).service
