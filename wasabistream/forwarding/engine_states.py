"""State of an engine as its agent reads it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineRun:
    """Hold one generation that an engine runs."""

    run_id: str
    memory_tokens: int
    event_count: int
    priority: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold the load of an engine and whether it leaves."""

    running_count: int
    waiting_count: int
    memory_used_tokens: int
    memory_capacity_tokens: int
    leaving: bool
    # Time until the engine ends; None where it is not known.
    leaves_seconds: float | None
    runs: tuple[EngineRun, ...]
