"""Share of the entries that tell this one which requests they send."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabistream.owners import rendezvous_hash

# Two notice intervals of one second, with a margin.
LINKED_SECONDS = 2.5
# Time for which an entry that no longer answers may still serve callers on the
# other side of a network partition.
KNOWN_SECONDS = 60.0


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
        self._linked_until_seconds: dict[str, float] = {}
        self._known_until_seconds: dict[str, float] = {}

    def record_notice(
        self, endpoint: str, listed: Iterable[str], *, draining: bool = False
    ) -> None:
        """Record an entry's notice and the entries that it is linked to."""
        now = self._clock()
        linked_until = now + LINKED_SECONDS
        with self._lock:
            for known in (*listed, endpoint):
                self._known_until_seconds[known] = now + KNOWN_SECONDS
            self._linked_until_seconds[endpoint] = linked_until
            if draining:
                self._known_until_seconds[endpoint] = linked_until
            self._known_until_seconds.pop(self._own_endpoint, None)

    def ratio(self) -> float:
        """Return the part of a common limit that the linked entries may use."""
        with self._lock:
            linked = self._list_linked()
            known = self._remove_expired(self._known_until_seconds)
            return len(linked) / (len(known.difference(linked)) + len(linked))

    def rank(self, key: str) -> float:
        """Return this entry's place among the linked ones, from 0 to below 1.

        Each key gives another order.
        """
        with self._lock:
            linked = self._list_linked()
        own_hash = rendezvous_hash(key, self._own_endpoint)
        before = sum(
            rendezvous_hash(key, endpoint) > own_hash for endpoint in linked
        )
        return before / len(linked)

    def _list_linked(self) -> set[str]:
        linked = self._remove_expired(self._linked_until_seconds)
        return linked | {self._own_endpoint}

    def _remove_expired(self, until_seconds: dict[str, float]) -> set[str]:
        now = self._clock()
        for endpoint, until in list(until_seconds.items()):
            if until < now:
                until_seconds.pop(endpoint)
        return set(until_seconds)
