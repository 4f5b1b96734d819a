"""Outcome of a copy of a generation's memory."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MoveOutcome:
    """Hold what an engine answered to one copy."""

    copied: bool
    # Names the memory at source and destination; empty for none.
    handle: str
    target_full: bool
    status: int
