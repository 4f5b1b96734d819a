"""Liveness of peers by their last sighting."""

import threading
import time
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

# Three notice intervals of one second, with a margin.
LIVENESS_TIMEOUT_SECONDS = 3.5

KeyT = TypeVar('KeyT', bound=Hashable)


class LivenessTracker(Generic[KeyT]):
    """Record when each key was last heard from; silent keys expire."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._heard_seconds: dict[KeyT, float] = {}

    def record_heard(self, key: KeyT, age_seconds: float = 0) -> bool:
        """Record that a key was heard from; return whether it is new."""
        heard_at_seconds = self._clock() - age_seconds
        with self._lock:
            before = self._heard_seconds.get(key)
            if before is None or heard_at_seconds > before:
                self._heard_seconds[key] = heard_at_seconds
            return before is None

    def list_live(self) -> list[KeyT]:
        """Return the keys heard within the timeout and remove the others."""
        oldest = self._clock() - LIVENESS_TIMEOUT_SECONDS
        with self._lock:
            for key, seconds in list(self._heard_seconds.items()):
                if seconds < oldest:
                    self._heard_seconds.pop(key)
            return list(self._heard_seconds)
