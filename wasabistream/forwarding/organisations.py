"""Organisations as a routing configuration names them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """Hold an organisation that callers' API keys belong to."""

    name: str
    # Goes before the priority of the route; None leaves the route's.
    priority: int | None
