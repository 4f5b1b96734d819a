"""Time since which an agent owns a key without interruption."""

from dataclasses import dataclass

from wasabistream.owners import owner_of
from wasabistream.service_views import ServiceView

MAX_TENURE_COUNT = 64


@dataclass(frozen=True)
class Tenure:
    """Hold a view and the time at which its lease began."""

    view: ServiceView
    since_seconds: float


class TenureHistory:
    """Record the leases of one agent that followed each other closely."""

    def __init__(self, member_id: str) -> None:
        self._member_id = member_id
        self._tenures: list[Tenure] = []
        self.held_until_seconds = float('-inf')

    def extend(
        self, view: ServiceView, now: float, end: float, settling: float
    ) -> None:
        """Record a lease that holds from now to an end."""
        if now >= self.held_until_seconds:
            self._resume(now, settling)
        known = self._tenures[-1] if self._tenures else None
        if known is None or known.view.digest != view.digest:
            self._tenures = [
                *self._tenures[1 - MAX_TENURE_COUNT :],
                Tenure(view, now),
            ]
        self.held_until_seconds = end

    def lapse(self, now: float) -> None:
        """End the lease at once."""
        self.held_until_seconds = min(self.held_until_seconds, now)

    def owned_since(self, key: str, now: float) -> float | None:
        """Return since when a key is owned, or None without a lease on it."""
        if now >= self.held_until_seconds:
            return None
        since = None
        for tenure in reversed(self._tenures):
            if owner_of(key, tenure.view.owners) != self._member_id:
                break
            since = tenure.since_seconds
        return since

    def _resume(self, now: float, settling: float) -> None:
        # Another owner needs a lease for the whole settling time before it
        # runs a key. A shorter gap therefore hides no call, but only after
        # a lease that lasted so long that no other owner could be settled.
        gap_seconds = now - self.held_until_seconds
        if not self._tenures:
            return
        held_seconds = self.held_until_seconds - self._tenures[-1].since_seconds
        if gap_seconds >= settling or held_seconds < settling:
            self._tenures.clear()
