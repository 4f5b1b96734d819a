"""Services behind the routes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Describe the model engine of each backend server of a service."""

    slot_count: int
    memory_tokens: int
    # Whether memory of a generation can be copied to another engine.
    moves: bool
    backups: bool


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service and the limits of each of its backend servers."""

    name: str
    health_path: str
    max_connection_count: int
    # Requests that a cold backend server bears in a second; 0 is no limit.
    cold_requests_per_second: float
    engine: EngineProfile | None
