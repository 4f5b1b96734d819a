"""Counts of what happened within a time before now."""

from collections import deque
from collections.abc import Callable


class SlidingWindow:
    """Count events of the last seconds; the owner holds the lock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._times: deque[float] = deque()

    def add(self) -> None:
        """Count one event now."""
        self._times.append(self._clock())

    def count(self, window_seconds: float) -> int:
        """Return the events within a window and forget the older ones."""
        self.trim(window_seconds)
        return len(self._times)

    def trim(self, window_seconds: float) -> None:
        """Forget the events before a window."""
        oldest = self._clock() - window_seconds
        while self._times and self._times[0] < oldest:
            self._times.popleft()
