"""Services that routes lead to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Describe the model engine of each backend server of a service."""

    slot_count: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service and the limits of each of its backend servers."""

    name: str
    # Request rate that a cold backend server can sustain; 0 is no limit.
    cold_requests_per_second: float
    engine: EngineProfile | None
