"""How the wait of a request for its start ends."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistream.forwarding.backend_servers import BackendServer


class StartReason(StrEnum):
    """State why a request left the queue."""

    room = 'room'
    in_time_limit = 'in_time_limit'
    dispatch_limit = 'dispatch_limit'
    drain = 'drain'
    no_reports = 'no_reports'
    # No engine was available when it arrived; the selection decides.
    no_engine = 'no_engine'
    # Too many requests wait already.
    full = 'full'
    refused = 'refused'
    # The caller left, the deadline passed or the entry stops.
    ended = 'ended'


@dataclass(frozen=True, slots=True)
class Start:
    """Hold where a request starts and why."""

    # None for a request that was not queued.
    reason: StartReason | None = None
    # None leaves the choice to the selection.
    server: BackendServer | None = None
    # Time to state to the caller of a refused request.
    retry_after_seconds: float = 0

    @property
    def is_refused(self) -> bool:
        """Return whether the request is refused without having run."""
        return self.reason == StartReason.refused


DIRECT_START = Start()
