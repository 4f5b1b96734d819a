"""Repeat budget of each service, divided among the entries.

A repeat is a further attempt that an entry makes to run a caller's request.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.sliding_windows import SlidingWindow

# Part of the allowance that stays unused. Each entry counts in its own window
# and may miss requests that another one counts, so without a reserve the
# entries together could exceed the limit.
RESERVE_RATIO = 0.3


@dataclass(frozen=True, slots=True)
class RepeatLimit:
    """Limit the repeats at one service in a sliding window."""

    ratio: float
    window_seconds: float
    # Repeats allowed regardless of the number of requests.
    extra_count: float


class RepeatBudget:
    """Count requests and repeats of one service at one entry.

    Entries share no state: each one uses the ratio of its own requests and an
    equal share of the extra allowance.
    """

    def __init__(
        self, limit: RepeatLimit, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._requests = SlidingWindow(clock)
        self._repeats = SlidingWindow(clock)

    def request(self) -> None:
        """Record one request of a caller."""
        with self._lock:
            self._requests.add()
            self._requests.trim(self._limit.window_seconds)

    def try_take(self, entry_count: int) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        with self._lock:
            if not self._is_within_allowance(entry_count):
                return False
            self._repeats.add()
            return True

    def allows(self, entry_count: int) -> bool:
        """Return whether the budget allows a repeat, without counting it."""
        with self._lock:
            return self._is_within_allowance(entry_count)

    def _is_within_allowance(self, entry_count: int) -> bool:
        window_seconds = self._limit.window_seconds
        allowance = (
            self._limit.ratio * self._requests.count(window_seconds)
            + self._limit.extra_count / max(entry_count, 1)
        ) * (1 - RESERVE_RATIO)
        return self._repeats.count(window_seconds) + 1 <= allowance


class RepeatBudgets:
    """Hold one repeat budget for each service."""

    def __init__(
        self,
        limit: RepeatLimit,
        count_entries: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._count_entries = count_entries
        self._clock = clock
        self._lock = threading.Lock()
        self._budgets: dict[str, RepeatBudget] = {}

    def request(self, service: str) -> None:
        """Record one request of a caller."""
        self._budget(service).request()

    def try_take(self, service: str) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        return self._budget(service).try_take(self._count_entries())

    def allows(self, service: str) -> bool:
        """Return whether the budget allows a repeat, without counting it."""
        return self._budget(service).allows(self._count_entries())

    def _budget(self, service: str) -> RepeatBudget:
        with self._lock:
            budget = self._budgets.get(service)
            if budget is None:
                budget = RepeatBudget(self._limit, self._clock)
                self._budgets[service] = budget
            return budget
