"""Comparison with the documents of the peers at the start of an entry."""

import logging
import threading
import time
from collections.abc import Callable

from wasabistream.configurations import (
    NO_VERSION,
    ConfigurationStore,
    VersionId,
)

logger = logging.getLogger(__name__)

# Links open in under 1 s unless a peer is unreachable.
ANSWER_TIMEOUT_SECONDS = 3.0
# Further time for the fetch of a later document that a peer announced.
FETCH_TIMEOUT_SECONDS = 5.0


class StartCheck:
    """Put the latest document in force once the peers have answered.

    A stale read of the configuration service must not bring back a document
    that the peers have already replaced.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        wanted_version: Callable[[], VersionId],
    ) -> None:
        self._store = store
        self._wanted_version = wanted_version
        self._lock = threading.Lock()
        self._version_ids_by_peer: dict[str, VersionId] = {}
        self._deadline_seconds: float | None = None
        self.is_done = False

    @property
    def confirmed_count(self) -> int:
        """Return the number of peers that announced a document."""
        with self._lock:
            return sum(
                version_id != NO_VERSION
                for version_id in self._version_ids_by_peer.values()
            )

    def record_answer(self, peer_id: str, version_id: VersionId) -> None:
        """Record which document a peer announced."""
        if not self.is_done:
            with self._lock:
                self._version_ids_by_peer[peer_id] = version_id

    def tick(self, expected_ids: set[str] | None) -> None:
        """End the check once all expected peers answered or the time is up.

        Without a VM list (None) the peers are unknown, and the check waits.
        """
        if self.is_done or expected_ids is None:
            return
        now = time.monotonic()
        if self._deadline_seconds is None:
            self._deadline_seconds = now + ANSWER_TIMEOUT_SECONDS
        with self._lock:
            # A stale VM list may be empty while peers still dial this process.
            complete = expected_ids and expected_ids.issubset(
                self._version_ids_by_peer
            )
        overdue_seconds = now - self._deadline_seconds
        if overdue_seconds < 0 and not complete:
            return
        fetching = self._wanted_version() != NO_VERSION
        if fetching and overdue_seconds < FETCH_TIMEOUT_SECONDS:
            return
        if self._store.latest is not None:
            self._finish(expected_ids)

    def _finish(self, expected_ids: set[str]) -> None:
        self.is_done = True
        confirmed_count = self.confirmed_count
        if expected_ids and not confirmed_count:
            logger.warning(
                'configuration: none of %d peers announced its document; the '
                + 'document read comes into force unconfirmed',
                len(expected_ids),
            )
        self._store.confirm(f'start, confirmed by {confirmed_count} peers')
