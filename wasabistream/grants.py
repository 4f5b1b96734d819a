"""Grants with which an agent supports the leases of its peers.

Each member of a service view requests a lease on it from all members. The view
assigns each idempotency key to one member, its owner, which runs calls with the
key only while it holds its lease.
"""

import threading
from dataclasses import dataclass, replace

from wasabistream.service_views import ServiceView

LEASE_SECONDS = 2.0
# A grant lasts longer than the lease that it supports. The margin covers clocks
# whose rates differ by up to 5 % each.
GRANT_MARGIN_SECONDS = 0.25


@dataclass(frozen=True)
class LeaseTimes:
    """Hold the lease times of a service, partly from the configuration."""

    # Time for which the owner of a key must hold its lease before it runs calls
    # with keys of which it has no record, and for which a granter grants
    # nothing after its start.
    settling_seconds: float = 10
    # Greatest age of the newest read of the VM list that an entry has reported
    # to the holder at which grants of a majority are enough for a lease. After
    # that, all members must grant it. The configuration document calls it
    # `list_hold_seconds`.
    max_list_age_seconds: float = 120
    lease_seconds: float = LEASE_SECONDS
    grant_margin_seconds: float = GRANT_MARGIN_SECONDS


@dataclass(frozen=True)
class LeaseClaim:
    """Identify the view for which a holder requests a grant."""

    digest: str
    # Index of the VM list and revision of the configuration document.
    order: tuple[int, int]
    # Whether the holder had a lease on this view when it sent the request.
    has_lease: bool


@dataclass(frozen=True)
class GrantReply:
    """Hold the answer to one request for a grant."""

    granted: bool
    reason: str = ''
    # Whether the granter knows, since its start, of a lease that any member of
    # the service held. If no granter does, all of them may have restarted, and
    # a new lease has to wait until any earlier one must have ended.
    lease_known: bool = False
    # Earlier views that the granter has granted. A lease also needs a majority
    # of the members of each of them.
    earlier_views: tuple[ServiceView, ...] = ()


@dataclass(frozen=True)
class Grant:
    """Hold the view digest, the holder's incarnation and the end of a grant."""

    digest: str
    incarnation: str
    end_seconds: float


class LeaseGranter:
    """Give grants on one view at a time and remember earlier views."""

    def __init__(self, now: float) -> None:
        self.times = LeaseTimes()
        self.view: ServiceView | None = None
        # Time since when the view has its current members and owners.
        self.view_changed_at_seconds = now
        # Time of the newest read of the VM list that an entry has reported.
        self.list_read_at_seconds = float('-inf')
        self.lease_known = False
        self._started_seconds = now
        self._lock = threading.RLock()
        self._grants: dict[str, Grant] = {}
        self._granted_views: dict[str, ServiceView] = {}

    def adopt_view(self, view: ServiceView, now: float) -> bool:
        """Adopt a newer view; tell whether its members or owners changed."""
        with self._lock:
            previous = self.view
            if previous is not None and view.order <= previous.order:
                return False
            self.view = view
            if previous is not None and view.digest == previous.digest:
                return False
            self.view_changed_at_seconds = now
            return True

    def record_list_read(
        self, list_index: int, now: float, age_seconds: float
    ) -> None:
        """Record a read of the VM list unless it is older than the view."""
        with self._lock:
            if self.view is not None and list_index >= self.view.list_index:
                self.list_read_at_seconds = max(
                    self.list_read_at_seconds, now - age_seconds
                )

    def request(
        self,
        holder: str,
        incarnation: str,
        claim: 'LeaseClaim',
        now: float,
    ) -> GrantReply:
        """Answer a holder's request with a grant, or a refusal and its reason."""
        digest = claim.digest
        with self._lock:
            reason = self._refusal_reason(holder, incarnation, digest, now)
            if reason or self.view is None:
                return GrantReply(granted=False, reason=reason)
            if claim.order > self.view.order:
                # The holder has the same members and owners from a newer list.
                # Taking over its order keeps this agent from adopting a view
                # in between afterwards.
                list_index, revision = claim.order
                self.view = replace(
                    self.view, list_index=list_index, revision=revision
                )
            end = (
                now + self.times.lease_seconds + self.times.grant_margin_seconds
            )
            self._grants[holder] = Grant(digest, incarnation, end)
            if claim.has_lease:
                self._record_lease(claim.order)
            self._granted_views[digest] = self.view
            return GrantReply(
                granted=True,
                lease_known=self.lease_known,
                earlier_views=self._earlier_views(digest, now),
            )

    def _refusal_reason(
        self, holder: str, incarnation: str, digest: str, now: float
    ) -> str:
        if now - self._started_seconds < self.times.settling_seconds:
            return 'starting'
        if self.view is None or self.view.digest != digest:
            # The view of the holder differs from that of this agent. After a
            # refusal for this reason both agents send their views to each
            # other, so that the older one is replaced.
            return 'view'
        if holder not in self.view.member_ids:
            return 'not_member'
        for granted_holder, grant in self._grants.items():
            if now >= grant.end_seconds:
                continue
            if granted_holder != holder and grant.digest != digest:
                # This agent's grant to another holder on another view is still
                # valid.
                return 'other_view'
            # A holder ends its own lease before it requests one on another
            # view, but it cannot end the lease of another incarnation.
            if granted_holder == holder and grant.incarnation != incarnation:
                return 'other_incarnation'
        return ''

    def _record_lease(self, order: tuple[int, int]) -> None:
        # To get its lease, the holder had grants of a majority of the members
        # of each earlier view. These members have adopted this view or a newer
        # one and give no grants on earlier views, so no agent can get a
        # majority for those any longer.
        self.lease_known = True
        self._granted_views = {
            digest: view
            for digest, view in self._granted_views.items()
            if view.order > order
        }

    def _earlier_views(
        self, digest: str, now: float
    ) -> tuple[ServiceView, ...]:
        earlier_leases_end_seconds = (
            self.view_changed_at_seconds
            + max_lease_without_reads_seconds(self.times)
        )
        if now >= earlier_leases_end_seconds:
            # This agent no longer grants the earlier views, so a lease on one
            # is not granted by all of its members. It then also needs a recent
            # read of its VM list. Such a lease has ended by now.
            self._granted_views = {digest: self._granted_views[digest]}
        return tuple(
            view
            for granted_digest, view in self._granted_views.items()
            if granted_digest != digest
        )


def max_lease_without_reads_seconds(times: LeaseTimes) -> float:
    """Return how long a lease can last after the last read of its VM list."""
    return (
        times.max_list_age_seconds
        + times.lease_seconds
        + 4 * times.grant_margin_seconds
    )
