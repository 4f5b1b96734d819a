"""Samples: results of the requests that the load generator sent."""

from dataclasses import dataclass

COMPLETE = 'complete'
REFUSED = 'refused'
BROKEN = 'broken'


@dataclass(frozen=True)
class RequestSample:
    """Hold what one caller observed of its request.

    All latencies count from the time at which the schedule had the request,
    so that a sender that is late cannot hide a slow answer.
    """

    kind: str
    work_class: str
    organisation: str
    scheduled_seconds: float
    send_delay_seconds: float
    # Negative if neither a token nor an answer arrived.
    first_token_seconds: float
    total_seconds: float
    token_gaps_seconds: tuple[float, ...]
    token_count: int
    expected_token_count: int
    end: str
    reason: str = ''
    outcome: str = ''
    status: int = 0

    @property
    def complete(self) -> bool:
        """Tell whether the whole answer arrived."""
        return self.end == COMPLETE
