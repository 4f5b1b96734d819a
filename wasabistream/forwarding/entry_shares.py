"""Share of the entries that tell this one which requests they send."""

import math
import threading
import time
from collections.abc import Callable, Collection, Iterable

from wasabistream.owners import rendezvous_hash

# Two notice intervals of one second, with a margin.
LINKED_SECONDS = 2.5
# Time for which an entry that no longer answers may still serve callers on the
# other side of a network partition.
KNOWN_SECONDS = 60.0
# Servers with a limit whose order of entries is kept.
MAX_RANK_COUNT = 10_000


class _RecentSet:
    """Hold members that expire; the set is built again only when it changes."""

    def __init__(self) -> None:
        self._until_seconds: dict[str, float] = {}
        self._members: frozenset[str] = frozenset()
        self._valid_until_seconds = math.inf

    def add(self, member: str, until_seconds: float) -> None:
        """Add a member, or set another time until which it stays."""
        self._until_seconds[member] = until_seconds
        if member not in self._members:
            self._members |= {member}
        self._valid_until_seconds = min(
            self._valid_until_seconds, until_seconds
        )

    def discard(self, member: str) -> None:
        """Remove a member, if it is there."""
        if self._until_seconds.pop(member, None) is not None:
            self._members -= {member}

    def members(self, now_seconds: float) -> frozenset[str]:
        """Return the members that have not expired."""
        if now_seconds > self._valid_until_seconds:
            for member, until in list(self._until_seconds.items()):
                if until < now_seconds:
                    self._until_seconds.pop(member)
            self._members = frozenset(self._until_seconds)
            self._valid_until_seconds = min(
                self._until_seconds.values(), default=math.inf
            )
        return self._members


class EntryShares:
    """Track the entries that are linked and those that are only known.

    Linked entries tell each other which requests they send. Those that are
    known but not linked may send as many without telling, so the linked ones
    use only their part of a common limit.
    """

    def __init__(
        self, own_endpoint: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._own_endpoint = own_endpoint
        self._clock = clock
        self._lock = threading.Lock()
        self._linked = _RecentSet()
        self._known = _RecentSet()
        # Entries that shut down; others may list them for a while.
        self._draining = _RecentSet()
        # Places by key among the linked entries of the last look.
        self._ranks: dict[str, float] = {}
        self._ranked: frozenset[str] = frozenset()

    def record_notice(
        self, endpoint: str, listed: Iterable[str], *, draining: bool = False
    ) -> None:
        """Record an entry's notice and the entries that it is linked to."""
        now = self._clock()
        linked_until = now + LINKED_SECONDS
        known_until = now + KNOWN_SECONDS
        with self._lock:
            self._known.add(endpoint, known_until)
            self._linked.add(endpoint, linked_until)
            self._draining.discard(endpoint)
            if draining:
                self._known.add(endpoint, linked_until)
                self._draining.add(endpoint, known_until)
            unlisted = self._draining.members(now) | {self._own_endpoint}
            for known in set(listed) - unlisted:
                self._known.add(known, known_until)

    def ratio(self) -> float:
        """Return the part of a common limit that the linked entries may use."""
        with self._lock:
            now = self._clock()
            linked = self._linked.members(now)
            unlinked = self._known.members(now) - linked
            # This entry counts as linked.
            return (len(linked) + 1) / (len(linked) + 1 + len(unlinked))

    def rank(self, key: str) -> float:
        """Return this entry's place among the linked ones, from 0 to below 1.

        Each key gives another order.
        """
        with self._lock:
            linked = self._linked.members(self._clock())
            if linked != self._ranked or len(self._ranks) >= MAX_RANK_COUNT:
                self._ranks = {}
                self._ranked = linked
            rank = self._ranks.get(key)
            if rank is None:
                rank = self._find_rank(key, linked)
                self._ranks[key] = rank
            return rank

    def is_among_first(self, key: str, count: int) -> bool:
        """Return whether fewer than `count` linked entries rank before this."""
        with self._lock:
            linked = self._linked.members(self._clock())
        return self._count_before(key, linked) < count

    def _find_rank(self, key: str, linked: Collection[str]) -> float:
        return self._count_before(key, linked) / (len(linked) + 1)

    def _count_before(self, key: str, linked: Collection[str]) -> int:
        own_hash = rendezvous_hash(key, self._own_endpoint)
        return sum(
            rendezvous_hash(key, endpoint) > own_hash for endpoint in linked
        )
