"""Retry budget, deadline and outcome of a request's attempts."""

import threading
import time
from collections.abc import Callable

from wasabistream.outcomes import Outcome

# Retries that each request adds to the budget.
BUDGET_RATIO = 0.1
# Retries added per second, so that an entry with little traffic can retry.
MIN_RETRIES_PER_SECOND = 1.0
# Most retries in the budget, which a burst of failures may use at once.
MAX_BUDGET_COUNT = 30.0

MAX_ATTEMPT_COUNT = 3
# Refusals by leaving servers cost nothing and do not count as attempts; this
# limit only ends a search when all servers of an outdated list are leaving.
MAX_LEAVING_REFUSAL_COUNT = 8
LEAVING_REASONS = frozenset(
    ('draining', 'leaving', 'data_centre_out', 'backend_out', 'no_document')
)
# Refusals after which an entry prefers servers of other data centres.
OVERLOAD_REASONS = frozenset(('queue_full', 'overloaded', 'busy'))

_SEVERITY = {Outcome.not_run: 0, Outcome.unknown: 1, Outcome.run: 2}


def worst_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return the joint outcome of two attempts of one request.

    One attempt that may have run makes `not_run` untrue for the request.
    """
    return max(first, second, key=lambda outcome: _SEVERITY[outcome])


class RetryBudget:
    """Limit the retries of one entry to a ratio of its requests.

    Retries after overload refusals take from it as well, so that an
    overloaded fleet gets at most a tenth more attempts.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._retry_count = MAX_BUDGET_COUNT / 3
        self._refilled_seconds = clock()

    def deposit(self) -> None:
        """Add the retry ratio of one request."""
        with self._lock:
            self._retry_count = min(
                self._retry_count + BUDGET_RATIO, MAX_BUDGET_COUNT
            )

    def try_take(self) -> bool:
        """Take one retry; tell whether the budget had one."""
        with self._lock:
            now = self._clock()
            elapsed_seconds = now - self._refilled_seconds
            self._refilled_seconds = now
            self._retry_count = min(
                self._retry_count + elapsed_seconds * MIN_RETRIES_PER_SECOND,
                MAX_BUDGET_COUNT,
            )
            if self._retry_count < 1:
                return False
            self._retry_count -= 1
            return True


class Deadline:
    """Hold a request's deadline; messages carry it as remaining seconds."""

    def __init__(
        self, seconds: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self.at_seconds = clock() + seconds

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds left; negative after the deadline."""
        return self.at_seconds - self._clock()

    @property
    def expired(self) -> bool:
        """Tell whether the deadline has passed."""
        return self.remaining_seconds <= 0
