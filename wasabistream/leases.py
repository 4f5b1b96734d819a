"""Majority lease that an agent needs to run calls of the keys it owns."""

import threading
from dataclasses import dataclass

from wasabistream.grants import (
    GrantReply,
    LeaseClaim,
    LeaseGranter,
    LeaseTimes,
    max_lease_without_reads_seconds,
)
from wasabistream.lease_histories import LeaseHistory
from wasabistream.service_views import ServiceView


@dataclass(frozen=True)
class LeaseRound:
    """Hold the claim and the send time of one round of grant requests."""

    sequence: int
    claim: LeaseClaim
    sent_at_seconds: float


@dataclass(frozen=True)
class ReceivedGrant:
    """Hold the last grant of one peer, with the end of its support."""

    digest: str
    end_seconds: float
    reply: GrantReply


class OwnerLease:
    """Hold a lease on the view of this agent while a majority grants it."""

    def __init__(
        self, member_id: str, incarnation: str, granter: LeaseGranter
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.granter = granter
        self.history = LeaseHistory(member_id)
        self._lock = threading.RLock()
        self._round: LeaseRound | None = None
        self._sequence = 0
        self._received_grants: dict[str, ReceivedGrant] = {}

    @property
    def times(self) -> LeaseTimes:
        """Return the lease times of the service."""
        return self.granter.times

    def adopt_view(self, view: ServiceView, now: float) -> bool:
        """Adopt a newer view; a change of members or owners ends the lease."""
        with self._lock:
            changed = self.granter.adopt_view(view, now)
            if changed:
                self.history.end_lease(now)
                self._round = None
            return changed

    def start_round(self, now: float) -> LeaseRound | None:
        """Start a round and request a grant of this agent.

        Returns None when the agent has no view.
        """
        with self._lock:
            view = self.granter.view
            if view is None:
                return None
            self._sequence += 1
            claim = LeaseClaim(view.digest, view.order, self.is_held(now))
            self._round = LeaseRound(self._sequence, claim, now)
            own_reply = self.granter.request(
                self.member_id, self.incarnation, claim, now
            )
            self.receive(self.member_id, self._sequence, own_reply, now)
            return self._round

    def receive(
        self, peer_id: str, sequence: int, reply: GrantReply, now: float
    ) -> None:
        """Apply a reply if it belongs to the current round."""
        with self._lock:
            current_round = self._round
            if current_round is None or current_round.sequence != sequence:
                return
            if not reply.granted:
                return
            # The lease is counted from the send, so it ends before the grant,
            # which is counted from the receipt.
            end = current_round.sent_at_seconds + self.times.lease_seconds
            self._received_grants[peer_id] = ReceivedGrant(
                current_round.claim.digest, end, reply
            )
            self._extend_lease(now)

    def is_held(self, now: float) -> bool:
        """Tell whether this agent holds a lease."""
        return now < self.history.lease_end_seconds

    def owned_since(self, key: str, now: float) -> float | None:
        """Return since when this agent owns a key, or None if it does not."""
        with self._lock:
            return self.history.owned_since(key, now)

    def required_views(self) -> list[ServiceView]:
        """Return the current and earlier views that need majorities."""
        view = self.granter.view
        with self._lock:
            earlier_views = [
                earlier_view
                for grant in self._received_grants.values()
                for earlier_view in grant.reply.earlier_views
            ]
        return earlier_views if view is None else [view, *earlier_views]

    def _extend_lease(self, now: float) -> None:
        view = self.granter.view
        if view is None:
            return
        valid_grants = {
            peer_id: grant
            for peer_id, grant in self._received_grants.items()
            if grant.digest == view.digest
        }
        distinct_ends = sorted(
            {item.end_seconds for item in valid_grants.values()}
        )
        for end in reversed(distinct_ends):
            granters = {
                peer_id: item.reply
                for peer_id, item in valid_grants.items()
                if item.end_seconds >= end
            }
            lease_end_seconds = min(
                end, self._max_end_seconds(view, granters, now)
            )
            if lease_end_seconds > now:
                settling = self.times.settling_seconds
                self.history.record_lease(
                    view, now, lease_end_seconds, settling
                )
                return

    def _max_end_seconds(
        self, view: ServiceView, granters: dict[str, GrantReply], now: float
    ) -> float:
        """Return the latest time until which the granters support a lease.

        The result is minus infinity when they do not support one.
        """
        earlier_views = [
            earlier_view
            for reply in granters.values()
            for earlier_view in reply.earlier_views
        ]
        if not all(
            required_view.has_majority(granters)
            for required_view in (view, *earlier_views)
        ):
            return float('-inf')
        complete = view.member_ids.issubset(granters)
        lease_known = any(reply.lease_known for reply in granters.values())
        if not lease_known and not self._may_start_first_lease(complete, now):
            return float('-inf')
        return float('inf') if complete else self._list_valid_until_seconds()

    def _may_start_first_lease(self, complete: bool, now: float) -> bool:
        # No granter knows of a lease. All members may have restarted, so any
        # lease that they granted before must have time to end by itself.
        wait_seconds = max_lease_without_reads_seconds(self.times)
        return (
            complete
            and now >= self.granter.view_changed_at_seconds + wait_seconds
        )

    def _list_valid_until_seconds(self) -> float:
        return (
            self.granter.list_read_at_seconds + self.times.max_list_age_seconds
        )
