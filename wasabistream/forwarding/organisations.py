"""Organisations of a routing configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """Describe the organisation that holds an API key."""

    name: str
    # Overrides the priority of the route; None keeps it.
    priority: int | None
