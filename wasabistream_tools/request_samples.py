"""Samples of requests that the load generator sent."""

from dataclasses import dataclass

COMPLETE = 'complete'
REFUSED = 'refused'
BROKEN = 'broken'


@dataclass(frozen=True)
class RequestSample:
    """Hold what one caller saw of its request.

    All latencies count from the intended time, so that a sender that is
    late cannot hide a slow answer.
    """

    kind: str
    work_class: str
    organisation: str
    intended_seconds: float
    sent_late_seconds: float
    # Negative when no token or answer came.
    first_token_seconds: float
    total_seconds: float
    gaps_seconds: tuple[float, ...]
    token_count: int
    expected_count: int
    end: str
    reason: str = ''
    outcome: str = ''
    status: int = 0

    @property
    def complete(self) -> bool:
        """Tell whether the whole answer arrived."""
        return self.end == COMPLETE
