"""Check at start that no peer holds a newer document."""

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

# Links open in under 1 s unless a peer is gone.
ANSWER_LIMIT_SECONDS = 3.0
# Time for the fetch of a newer document after the last answer.
FETCH_LIMIT_SECONDS = 5.0


class StartCheck:
    """Put the highest document in force once the peers have answered."""

    def __init__(
        self,
        store: ConfigurationStore,
        wanted: Callable[[], VersionId],
    ) -> None:
        self._store = store
        self._wanted = wanted
        self._lock = threading.Lock()
        self._answers: dict[str, VersionId] = {}
        self._deadline_seconds: float | None = None
        self.done = False

    @property
    def confirmed_count(self) -> int:
        """Count the peers that told which document they hold."""
        with self._lock:
            return sum(order != NO_VERSION for order in self._answers.values())

    def answered(self, peer_id: str, order: VersionId) -> None:
        """Record the answer of a peer."""
        if not self.done:
            with self._lock:
                self._answers[peer_id] = order

    def tick(self, expected: set[str] | None) -> None:
        """End the check if it may end; without a VM list nobody is expected."""
        if self.done or expected is None:
            return
        now = time.monotonic()
        if self._deadline_seconds is None:
            self._deadline_seconds = now + ANSWER_LIMIT_SECONDS
        with self._lock:
            # A stale list may be empty; others may still dial this process.
            complete = expected and expected.issubset(self._answers)
        overdue_seconds = now - self._deadline_seconds
        if overdue_seconds < 0 and not complete:
            return
        fetching = self._wanted() != NO_VERSION
        if fetching and overdue_seconds < FETCH_LIMIT_SECONDS:
            return
        if self._store.latest is not None:
            self._finish(expected)

    def _finish(self, expected: set[str]) -> None:
        self.done = True
        confirmed_count = self.confirmed_count
        if expected and not confirmed_count:
            logger.warning(
                'configuration: none of %d peers told its document; the '
                + 'document read comes into force unconfirmed',
                len(expected),
            )
        self._store.confirm(f'start, confirmed by {confirmed_count} peers')
