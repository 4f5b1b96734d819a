"""Time since which an agent owns a key without interruption."""

from dataclasses import dataclass

from wasabistream.owners import owner_of
from wasabistream.service_views import ServiceView

MAX_PERIOD_COUNT = 64


@dataclass(frozen=True)
class LeasePeriod:
    """Hold a view and the time at which its lease began."""

    view: ServiceView
    since_seconds: float


class LeaseHistory:
    """Record the leases of one agent that followed each other closely."""

    def __init__(self, member_id: str) -> None:
        self._member_id = member_id
        self._periods: list[LeasePeriod] = []
        self.lease_end_seconds = float('-inf')

    def record_lease(
        self, view: ServiceView, now: float, end: float, settling: float
    ) -> None:
        """Record a lease on a view, or the extension of one."""
        if now >= self.lease_end_seconds:
            self._clear_after_gap(now, settling)
        latest = self._periods[-1] if self._periods else None
        if latest is None or latest.view.digest != view.digest:
            self._periods = [
                *self._periods[1 - MAX_PERIOD_COUNT :],
                LeasePeriod(view, now),
            ]
        self.lease_end_seconds = end

    def end_lease(self, now: float) -> None:
        """End the lease at once."""
        self.lease_end_seconds = min(self.lease_end_seconds, now)

    def owned_since(self, key: str, now: float) -> float | None:
        """Return since when a key is owned, or None without a lease on it."""
        if now >= self.lease_end_seconds:
            return None
        since = None
        for period in reversed(self._periods):
            if owner_of(key, period.view.eligible_owners) != self._member_id:
                break
            since = period.since_seconds
        return since

    def _clear_after_gap(self, now: float, settling: float) -> None:
        # Another owner needs a lease for the whole settling time before it
        # runs a key. So no call of another owner falls into a shorter gap,
        # provided that the lease before it lasted for the settling time, as
        # then no other owner was settled when the gap began.
        gap_seconds = now - self.lease_end_seconds
        if not self._periods:
            return
        period_seconds = (
            self.lease_end_seconds - self._periods[-1].since_seconds
        )
        if gap_seconds >= settling or period_seconds < settling:
            self._periods.clear()
