"""Entries that were heard lately."""

import threading
import time
from collections.abc import Iterable

# An entry that was not heard for three notices does not count as alive.
ALIVE_SECONDS = 3.5
# What a peer hears is up to one notice older.
RELAY_SECONDS = 1.0


class HeardEntries:
    """Remember when each other entry was heard last."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._lock = threading.Lock()
        self._heard_seconds: dict[str, float] = {}

    def hear(self, endpoint: str, relayed: Iterable[str]) -> None:
        """Note a notice of an entry and whom it hears itself."""
        now = time.monotonic()
        with self._lock:
            for known in relayed:
                seconds = self._heard_seconds.get(known, 0)
                self._heard_seconds[known] = max(seconds, now - RELAY_SECONDS)
            self._heard_seconds[endpoint] = now

    def alive(self) -> set[str]:
        """Return the other entries that were heard lately."""
        oldest = time.monotonic() - ALIVE_SECONDS
        with self._lock:
            for endpoint, seconds in list(self._heard_seconds.items()):
                if seconds < oldest:
                    self._heard_seconds.pop(endpoint)
            return set(self._heard_seconds) - {self._own_endpoint}
