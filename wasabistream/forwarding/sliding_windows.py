"""Counts of recent events."""

from collections import deque
from collections.abc import Callable


class SlidingWindow:
    """Count events in a sliding window.

    Not thread-safe: the owner must hold its own lock around each method.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._times: deque[float] = deque()

    def add(self) -> None:
        """Record an event at the current time."""
        self._times.append(self._clock())

    def count(self, window_seconds: float) -> int:
        """Return the number of events in the window; remove older ones."""
        self.trim(window_seconds)
        return len(self._times)

    def trim(self, window_seconds: float) -> None:
        """Remove the events that are older than the window."""
        oldest = self._clock() - window_seconds
        while self._times and self._times[0] < oldest:
            self._times.popleft()
