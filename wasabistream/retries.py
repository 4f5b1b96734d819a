"""Limits of retries: budget and deadline."""

import threading
import time
from collections.abc import Callable

from wasabistream.outcomes import Outcome

# Part of the requests that may be sent a second time.
BUDGET_RATIO = 0.1
# An entry with little traffic may still retry now and then.
RESERVE_PER_SECOND = 1.0
# Retries that a burst of failures may use at once.
MAX_BUDGET_COUNT = 30.0

MAX_ATTEMPT_COUNT = 3
# Refusals of servers that leave cost nothing and are not counted as attempts;
# this limit only ends a search in a list that is out of date everywhere.
MAX_REDIRECT_COUNT = 8
LEAVING_REASONS = frozenset(
    ('draining', 'leaving', 'data_centre_out', 'backend_out', 'no_document')
)
OVERLOAD_REASONS = frozenset(
    ('queue_full', 'overload', 'busy', 'expected_wait')
)

_SEVERITY = {Outcome.not_run: 0, Outcome.unknown: 1, Outcome.run: 2}


def worst_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return the outcome that two attempts of one request have together.

    One attempt that may have run makes `not_run` untrue for the request.
    """
    return max(first, second, key=lambda outcome: _SEVERITY[outcome])


class RetryBudget:
    """Limit retries to a part of the requests of one entry.

    All retries draw on it, those after overload refusals too, so that an
    overloaded fleet gets at most a tenth more attempts.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._count = MAX_BUDGET_COUNT / 3
        self._filled_seconds = clock()

    def deposit(self) -> None:
        """Count one request."""
        with self._lock:
            self._count = min(self._count + BUDGET_RATIO, MAX_BUDGET_COUNT)

    def try_take(self) -> bool:
        """Take one retry; tell whether there was one."""
        with self._lock:
            now = self._clock()
            elapsed_seconds = now - self._filled_seconds
            self._filled_seconds = now
            self._count = min(
                self._count + elapsed_seconds * RESERVE_PER_SECOND,
                MAX_BUDGET_COUNT,
            )
            if self._count < 1:
                return False
            self._count -= 1
            return True


class Deadline:
    """Hold the end of a request; it travels as remaining seconds."""

    def __init__(
        self, seconds: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self.at_seconds = clock() + seconds

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds left, below zero after the end."""
        return self.at_seconds - self._clock()

    @property
    def expired(self) -> bool:
        """Tell whether the end has passed."""
        return self.remaining_seconds <= 0
