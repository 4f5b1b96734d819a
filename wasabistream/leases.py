"""Lease under which an agent runs the calls of the keys it owns."""

import threading
from dataclasses import dataclass

from wasabistream.grants import (
    GrantBook,
    GrantReply,
    LeaseClaim,
    LeaseTimes,
    hold_limit_seconds,
)
from wasabistream.service_views import ServiceView
from wasabistream.tenures import TenureHistory


@dataclass(frozen=True)
class LeaseRound:
    """Describe one round of requests."""

    sequence: int
    claim: LeaseClaim
    sent_seconds: float


@dataclass(frozen=True)
class Confirmation:
    """Hold the last grant of one peer."""

    digest: str
    end_seconds: float
    reply: GrantReply


class OwnerLease:
    """Gather the grants of a majority for the view of this agent."""

    def __init__(
        self, member_id: str, incarnation: str, book: GrantBook
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.book = book
        self.history = TenureHistory(member_id)
        self._lock = threading.RLock()
        self._round: LeaseRound | None = None
        self._sequence = 0
        self._confirmations: dict[str, Confirmation] = {}

    @property
    def times(self) -> LeaseTimes:
        """Return the times of the service."""
        return self.book.times

    def adopt(self, view: ServiceView, now: float) -> bool:
        """Move to a newer view; a change of its content ends the lease."""
        with self._lock:
            changed = self.book.adopt(view, now)
            if changed:
                self.history.lapse(now)
                self._round = None
            return changed

    def begin_round(self, now: float) -> LeaseRound | None:
        """Start a round and grant to itself; return None without a view."""
        with self._lock:
            view = self.book.view
            if view is None:
                return None
            self._sequence += 1
            claim = LeaseClaim(view.digest, view.order, self.holds(now))
            self._round = LeaseRound(self._sequence, claim, now)
            own = self.book.request(
                self.member_id, self.incarnation, claim, now
            )
            self.receive(self.member_id, self._sequence, own, now)
            return self._round

    def receive(
        self, peer_id: str, sequence: int, reply: GrantReply, now: float
    ) -> None:
        """Apply the reply of a peer to the round in progress."""
        with self._lock:
            current = self._round
            if current is None or current.sequence != sequence:
                return
            if not reply.granted:
                return
            # The time counts from the send, so that the lease ends before
            # the grant does.
            end = current.sent_seconds + self.times.lease_seconds
            self._confirmations[peer_id] = Confirmation(
                current.claim.digest, end, reply
            )
            self._extend(now)

    def holds(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return now < self.history.held_until_seconds

    def owned_since(self, key: str, now: float) -> float | None:
        """Return since when a key is owned, or None without a lease on it."""
        with self._lock:
            return self.history.owned_since(key, now)

    def known_views(self) -> list[ServiceView]:
        """Return the view and the earlier ones whose members must agree."""
        view = self.book.view
        with self._lock:
            bases = [
                base
                for confirmation in self._confirmations.values()
                for base in confirmation.reply.bases
            ]
        return bases if view is None else [view, *bases]

    def _extend(self, now: float) -> None:
        view = self.book.view
        if view is None:
            return
        valid = {
            peer_id: confirmation
            for peer_id, confirmation in self._confirmations.items()
            if confirmation.digest == view.digest
        }
        ends = sorted({item.end_seconds for item in valid.values()})
        for end in reversed(ends):
            granters = {
                peer_id: item.reply
                for peer_id, item in valid.items()
                if item.end_seconds >= end
            }
            limit = min(end, self._limit_seconds(view, granters, now))
            if limit > now:
                settling = self.times.settling_seconds
                self.history.extend(view, now, limit, settling)
                return

    def _limit_seconds(
        self, view: ServiceView, granters: dict[str, GrantReply], now: float
    ) -> float:
        """Return until when the granters support a lease, at most."""
        bases = [base for reply in granters.values() for base in reply.bases]
        if not all(base.has_majority(granters) for base in (view, *bases)):
            return float('-inf')
        complete = view.member_ids.issubset(granters)
        founded = any(reply.founded for reply in granters.values())
        if not founded and not self._may_found(complete, now):
            return float('-inf')
        return float('inf') if complete else self._fresh_until()

    def _may_found(self, complete: bool, now: float) -> bool:
        # No granter knows an earlier view, so its holders must have stopped
        # by themselves.
        wait_seconds = hold_limit_seconds(self.times)
        return complete and now >= self.book.view_since_seconds + wait_seconds

    def _fresh_until(self) -> float:
        return self.book.fresh_seconds + self.times.hold_seconds
