"""Confirmations that an agent gives to peers of its service."""

import threading
from dataclasses import dataclass, replace

from wasabistream.service_views import ServiceView

LEASE_SECONDS = 2.0
# A grant outlasts the lease it supports. The margin covers clocks whose
# rates differ by up to 5 % each.
GRANT_MARGIN_SECONDS = 0.25


@dataclass(frozen=True)
class LeaseTimes:
    """Hold the times of a service, from its document."""

    settling_seconds: float = 10
    # Time without a read of the VM list after which a list with a member
    # missing no longer supports a lease.
    hold_seconds: float = 120
    lease_seconds: float = LEASE_SECONDS
    margin_seconds: float = GRANT_MARGIN_SECONDS


@dataclass(frozen=True)
class LeaseClaim:
    """Name the view for which a holder asks a grant."""

    digest: str
    order: tuple[int, int]
    # Whether the holder had a lease on this view when it asked.
    established: bool


@dataclass(frozen=True)
class GrantReply:
    """Answer one request for a grant."""

    granted: bool
    reason: str = ''
    # Whether the granter knows that some lease held before.
    founded: bool = False
    # Earlier views whose majority must agree as well.
    bases: tuple[ServiceView, ...] = ()


@dataclass(frozen=True)
class Grant:
    """Record what was granted to one holder."""

    digest: str
    incarnation: str
    end_seconds: float


class GrantBook:
    """Grant one view at a time and remember earlier ones."""

    def __init__(self, now: float) -> None:
        self.times = LeaseTimes()
        self.view: ServiceView | None = None
        self.view_since_seconds = now
        # Time of the newest read of the VM list that an entry told of.
        self.fresh_seconds = float('-inf')
        self.founded = False
        self._started_seconds = now
        self._lock = threading.RLock()
        self._grants: dict[str, Grant] = {}
        self._bases: dict[str, ServiceView] = {}

    def adopt(self, view: ServiceView, now: float) -> bool:
        """Move to a newer view; return whether its content changed."""
        with self._lock:
            current = self.view
            if current is not None and view.order <= current.order:
                return False
            self.view = view
            if current is not None and view.digest == current.digest:
                return False
            self.view_since_seconds = now
            return True

    def confirm_read(self, list_index: int, now: float, age: float) -> None:
        """Record a read of the VM list that is at least as new as the view."""
        with self._lock:
            if self.view is not None and list_index >= self.view.list_index:
                self.fresh_seconds = max(self.fresh_seconds, now - age)

    def request(
        self,
        holder: str,
        incarnation: str,
        claim: 'LeaseClaim',
        now: float,
    ) -> GrantReply:
        """Grant a view to a holder, or refuse."""
        digest = claim.digest
        with self._lock:
            reason = self._refusal(holder, incarnation, digest, now)
            if reason or self.view is None:
                return GrantReply(granted=False, reason=reason)
            if claim.order > self.view.order:
                # Same content from a newer list: this agent must not move
                # to a list between the two afterwards.
                list_index, revision = claim.order
                self.view = replace(
                    self.view, list_index=list_index, revision=revision
                )
            end = now + self.times.lease_seconds + self.times.margin_seconds
            self._grants[holder] = Grant(digest, incarnation, end)
            if claim.established:
                self._found(claim.order)
            self._bases[digest] = self.view
            return GrantReply(
                granted=True,
                founded=self.founded,
                bases=self._earlier_views(digest, now),
            )

    def _refusal(
        self, holder: str, incarnation: str, digest: str, now: float
    ) -> str:
        if now - self._started_seconds < self.times.settling_seconds:
            return 'starting'
        if self.view is None or self.view.digest != digest:
            return 'view'
        if holder not in self.view.member_ids:
            return 'not_member'
        for known, grant in self._grants.items():
            if now >= grant.end_seconds:
                continue
            if known != holder and grant.digest != digest:
                return 'other_view'
            # A holder gives up its own lease before it asks for another.
            if known == holder and grant.incarnation != incarnation:
                return 'other_incarnation'
        return ''

    def _found(self, order: tuple[int, int]) -> None:
        # The holder had the majorities of all earlier views, and these
        # majorities do not return to them.
        self.founded = True
        self._bases = {
            digest: view
            for digest, view in self._bases.items()
            if view.order > order
        }

    def _earlier_views(
        self, digest: str, now: float
    ) -> tuple[ServiceView, ...]:
        stopped_seconds = self.view_since_seconds + hold_limit_seconds(
            self.times
        )
        if now >= stopped_seconds:
            # Without this agent an earlier view is incomplete, so that its
            # holders have stopped for want of a fresh list.
            self._bases = {digest: self._bases[digest]}
        return tuple(
            view for known, view in self._bases.items() if known != digest
        )


def hold_limit_seconds(times: LeaseTimes) -> float:
    """Return the time after which holders of an unread list have stopped."""
    return times.hold_seconds + times.lease_seconds + 4 * times.margin_seconds
