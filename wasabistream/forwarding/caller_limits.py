"""Limits on what a caller may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit request sizes, the time to send headers and idle connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3
    idle_timeout_seconds: float = 15
