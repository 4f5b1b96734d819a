"""Rate at which a gate starts jobs in an engine that limits it."""

import time
from collections.abc import Callable

from wasabistream.rate_buckets import RateBucket, interval_seconds


class StartRate:
    """Space the starts of jobs by the rate that the engine states.

    The agent is the only one that sends jobs to its engine, so that it counts
    all of them. Not thread-safe.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._max_per_second: float | None = None
        self._bucket = RateBucket(clock())

    def set_limit(self, max_per_second: float | None) -> None:
        """Set the most starts in a second, or None without a limit."""
        before = self._max_per_second
        self._max_per_second = max_per_second
        if max_per_second is None:
            self._bucket = RateBucket(self._clock())
        elif before is not None and max_per_second > before:
            self._bucket.limit_debt(self._clock(), max_per_second)

    def add_start(self) -> None:
        """Count a job that starts."""
        if self._max_per_second is not None:
            self._bucket.add(self._clock(), self._max_per_second)

    def wait_seconds(self, queued_count: int = 0) -> float:
        """Return the time until the job behind so many others may start."""
        if self._max_per_second is None:
            return 0
        due_in_seconds = self._bucket.due_at_seconds - self._clock()
        queue_seconds = queued_count * interval_seconds(self._max_per_second)
        return max(due_in_seconds, 0) + queue_seconds
