"""Liveness by the time of the last contact."""

import threading
import time
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

# Three notice intervals of one second, with a margin.
LIVENESS_TIMEOUT_SECONDS = 3.5

KeyT = TypeVar('KeyT', bound=Hashable)


class LivenessTracker(Generic[KeyT]):
    """Record the last contact of each key; silent keys expire."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last_contact_seconds: dict[KeyT, float] = {}

    def record_contact(self, key: KeyT, age_seconds: float = 0) -> bool:
        """Record contact `age_seconds` ago; return whether the key is new."""
        contact_seconds = self._clock() - age_seconds
        with self._lock:
            before = self._last_contact_seconds.get(key)
            if before is None or contact_seconds > before:
                self._last_contact_seconds[key] = contact_seconds
            return before is None

    def list_live(self) -> list[KeyT]:
        """Return the keys with contact within the timeout; remove others."""
        oldest = self._clock() - LIVENESS_TIMEOUT_SECONDS
        with self._lock:
            for key, seconds in list(self._last_contact_seconds.items()):
                if seconds < oldest:
                    self._last_contact_seconds.pop(key)
            return list(self._last_contact_seconds)
