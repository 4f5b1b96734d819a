"""State of an engine as its agent polls it.

An engine is a backend server that runs generations.
"""

from dataclasses import dataclass

from wasabistream.forwarding.server_advisories import ServerAdvisory


@dataclass(frozen=True, slots=True)
class EngineRun:
    """Describe a run: one generation that is in progress at an engine."""

    # Id of the request that started the generation.
    run_id: str
    memory_tokens: int
    event_count: int
    priority: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """Describe the load of an engine and whether it is shutting down."""

    running_count: int
    waiting_count: int
    memory_used_tokens: int
    memory_capacity_tokens: int
    leaving: bool
    # Time until the engine ends; None if unknown.
    leaves_seconds: float | None
    runs: tuple[EngineRun, ...]
    advisory: ServerAdvisory = ServerAdvisory()
    # Distinguishes restarts; 0 if the engine does not state it.
    started_unix_ms: int = 0
