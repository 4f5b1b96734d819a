"""Choice of the link from which a newer value is fetched."""

import threading
import time
from collections.abc import Callable

from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.exceptions import LinkError
from wasabistream.links import Link
from wasabistream.owners import rendezvous_hash

# Announcements of several peers arrive in this time; one of them is asked.
SETTLE_SECONDS = 0.2
# A body of 1 MiB takes less on any link that heartbeats keep alive.
FETCH_LIMIT_SECONDS = 2.0
MAX_IGNORED_COUNT = 16


class Fetcher:
    """Ask one peer at a time for the newest value on offer."""

    def __init__(
        self,
        own_id: str,
        latest_version_id: Callable[[], VersionId],
        fetch: Callable[[Link, VersionId], None],
    ) -> None:
        self._own_id = own_id
        self._held_order = latest_version_id
        self._fetch = fetch
        self._lock = threading.Lock()
        self._offers: dict[Link, VersionId] = {}
        self._ignored: list[VersionId] = []
        self._tried: set[Link] = set()
        self._pending_order = NO_VERSION
        self._due_seconds = 0.0

    def offer(self, link: Link, order: VersionId) -> None:
        """Record what a peer holds."""
        with self._lock:
            self._offers[link] = order

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._offers.pop(link, None)

    def failed(self) -> None:
        """Ask the next peer at once."""
        with self._lock:
            self._due_seconds = 0.0

    def ignore(self, order: VersionId) -> None:
        """Never ask for a value that is not valid here."""
        with self._lock:
            self._ignored = [*self._ignored, order][-MAX_IGNORED_COUNT:]

    def wanted(self) -> VersionId:
        """Return the newest order on offer, or NO_VERSION if it is held."""
        with self._lock:
            return self._wanted()

    def tick(self) -> None:
        """Ask for a newer value if one is due."""
        now = time.monotonic()
        with self._lock:
            wanted = self._wanted()
            link = self._choose(wanted, now)
        if link is None:
            return
        try:
            self._fetch(link, wanted)
        except LinkError:
            self.failed()

    def _wanted(self) -> VersionId:
        held = self._held_order()
        offers = set(self._offers.values()).difference(self._ignored)
        newest = max(offers, default=NO_VERSION)
        return newest if newest > held else NO_VERSION

    def _choose(self, wanted: VersionId, now: float) -> Link | None:
        if wanted == NO_VERSION:
            self._pending_order = NO_VERSION
            return None
        held_pending = self._held_order() >= self._pending_order
        if held_pending:
            # The order before arrived or there was none.
            self._pending_order = wanted
            self._tried.clear()
            self._due_seconds = now + SETTLE_SECONDS
        if now < self._due_seconds:
            return None
        links = [
            link
            for link, order in self._offers.items()
            if order == wanted and not link.closed
        ]
        if self._tried.issuperset(links):
            self._tried.clear()
        fresh = [link for link in links if link not in self._tried]
        if not fresh:
            return None
        chosen = max(
            fresh,
            key=lambda link: rendezvous_hash(self._own_id, link.peer.peer_id),
        )
        self._tried.add(chosen)
        self._pending_order = wanted
        self._due_seconds = now + FETCH_LIMIT_SECONDS
        return chosen
