"""Those that were heard lately."""

import threading
import time
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

# Three notices, one each second; who was not heard for longer is not counted.
ALIVE_SECONDS = 3.5

KeyT = TypeVar('KeyT', bound=Hashable)


class RecentlyHeard(Generic[KeyT]):
    """Remember when each was heard last and forget the silent ones."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._heard_seconds: dict[KeyT, float] = {}

    def hear(self, key: KeyT, age_seconds: float = 0) -> bool:
        """Note one that was heard some time ago; tell whether it is new."""
        heard = self._clock() - age_seconds
        with self._lock:
            before = self._heard_seconds.get(key)
            if before is None or heard > before:
                self._heard_seconds[key] = heard
            return before is None

    def alive(self) -> list[KeyT]:
        """Return those that were heard lately."""
        oldest = self._clock() - ALIVE_SECONDS
        with self._lock:
            for key, seconds in list(self._heard_seconds.items()):
                if seconds < oldest:
                    self._heard_seconds.pop(key)
            return list(self._heard_seconds)
