"""Messages between entries about statements of backend servers."""

from dataclasses import dataclass

from wasabistream.messages import Message, message


@dataclass(frozen=True, slots=True)
class AdvisoryMessage(Message):
    """Base class of messages about statements of backend servers."""


@message(94)
@dataclass(frozen=True, slots=True)
class RateLimitNotice(AdvisoryMessage):
    """Pass on the rate limit that a backend server states, or its end."""

    endpoint: str
    server_id: str
    started_unix_ms: int
    # Requests per second for all entries together; infinite without a limit.
    limit_per_second: float
    # Time since the answer that stated it.
    age_seconds: float
    # Time until the next request keeps within the limit.
    wait_seconds: float


@message(95)
@dataclass(frozen=True, slots=True)
class LimitedSendNotice(AdvisoryMessage):
    """Report a request that was sent to a backend server with a limit."""

    endpoint: str
