"""Samples: results of the requests that the load generator sent."""

from dataclasses import dataclass

# Ends of a request: whole answer, error status, or a broken-off answer.
COMPLETE = 'complete'
REFUSED = 'refused'
BROKEN = 'broken'


@dataclass(frozen=True)
class RequestSample:
    """Hold what one caller observed of its request.

    Latencies count from the scheduled time, not from the time of sending, so
    that a sender that is late cannot hide a slow answer.
    """

    kind: str
    work_class: str
    organisation: str
    # Counted from the start of the run.
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
