"""Statements of a backend server about itself in the head of an answer."""

import math
from dataclasses import dataclass

NO_LIMIT = math.inf


@dataclass(frozen=True, slots=True)
class ServerAdvisory:
    """Hold what a backend server states about itself.

    The limit is in requests per second, for all entries together: `NO_LIMIT`
    if the server states none, None if its statement cannot be read.
    """

    limit_per_second: float | None = NO_LIMIT
    # Whether it finishes its work and wants no more requests.
    is_leaving: bool = False
    # Time for which it wants no requests from this entry.
    retry_after_seconds: float = 0


def format_limit(limit_per_second: float) -> float | None:
    """Return a limit as a log field, which is None without a limit."""
    return None if limit_per_second == NO_LIMIT else limit_per_second
