"""Outcome of copying a generation's memory to another engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MoveOutcome:
    """Hold an engine's answer to one copy."""

    copied: bool
    # Identifies the generation's memory (KV cache) to a server that continues
    # it; empty if there is none.
    handle: str
    target_full: bool
    status: int
    # Whether the engine states that another order for the run is in progress.
    in_conflict: bool = False
