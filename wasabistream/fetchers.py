"""Fetches of the latest version from one of the peers that announce it."""

import threading
import time
from collections.abc import Callable

from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.exceptions import LinkError
from wasabistream.links import Link
from wasabistream.owners import rendezvous_hash

# Time in which the peers announce a new version, before one is selected.
ANNOUNCEMENT_WAIT_SECONDS = 0.2
# Time after which another peer is asked. Any link that is fast enough for its
# heartbeats to arrive in time is expected to transfer a body of 1 MiB in less.
FETCH_TIMEOUT_SECONDS = 2.0
MAX_IGNORED_COUNT = 16


class Fetcher:
    """Fetch the latest version that peers announce, from one peer at a time."""

    def __init__(
        self,
        own_id: str,
        latest_version_id: Callable[[], VersionId],
        fetch: Callable[[Link, VersionId], None],
    ) -> None:
        self._own_id = own_id
        self._latest_version_id = latest_version_id
        self._fetch = fetch
        self._lock = threading.Lock()
        self._announced_versions: dict[Link, VersionId] = {}
        self._ignored_versions: list[VersionId] = []
        self._tried_links: set[Link] = set()
        self._pending_version = NO_VERSION
        self._next_fetch_seconds = 0.0

    def record_announced_version(
        self, link: Link, version_id: VersionId
    ) -> None:
        """Record the version that a peer announces."""
        with self._lock:
            self._announced_versions[link] = version_id

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._announced_versions.pop(link, None)

    def failed(self) -> None:
        """Record a failed fetch, so that the next tick asks another peer."""
        with self._lock:
            self._next_fetch_seconds = 0.0

    def ignore(self, version_id: VersionId) -> None:
        """Do not fetch a version that this process refuses as invalid."""
        with self._lock:
            self._ignored_versions = [*self._ignored_versions, version_id][
                -MAX_IGNORED_COUNT:
            ]

    def wanted_version(self) -> VersionId:
        """Return the latest announced version if it is later than the own one.

        Returns NO_VERSION otherwise.
        """
        with self._lock:
            return self._find_wanted_version()

    def tick(self) -> None:
        """Send a fetch if a later version is announced and a fetch is due."""
        now = time.monotonic()
        with self._lock:
            wanted = self._find_wanted_version()
            link = self._choose_link(wanted, now)
        if link is None:
            return
        try:
            self._fetch(link, wanted)
        except LinkError:
            self.failed()

    def _find_wanted_version(self) -> VersionId:
        own = self._latest_version_id()
        candidates = set(self._announced_versions.values()).difference(
            self._ignored_versions
        )
        latest = max(candidates, default=NO_VERSION)
        return latest if latest > own else NO_VERSION

    def _choose_link(self, wanted: VersionId, now: float) -> Link | None:
        if wanted == NO_VERSION:
            self._pending_version = NO_VERSION
            return None
        pending_received = self._latest_version_id() >= self._pending_version
        if pending_received:
            # The fetched version has arrived, or none was pending.
            self._pending_version = wanted
            self._tried_links.clear()
            self._next_fetch_seconds = now + ANNOUNCEMENT_WAIT_SECONDS
        if now < self._next_fetch_seconds:
            return None
        links = [
            link
            for link, version_id in self._announced_versions.items()
            if version_id == wanted and not link.closed
        ]
        if self._tried_links.issuperset(links):
            self._tried_links.clear()
        untried = [link for link in links if link not in self._tried_links]
        if not untried:
            return None
        chosen = max(
            untried,
            key=lambda link: rendezvous_hash(self._own_id, link.peer.peer_id),
        )
        self._tried_links.add(chosen)
        self._pending_version = wanted
        self._next_fetch_seconds = now + FETCH_TIMEOUT_SECONDS
        return chosen
