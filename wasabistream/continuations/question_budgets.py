"""Budget of questions to agents that seldom know a stream."""

import time
from collections.abc import Callable

# With replies some 4 KB a second, half of what a daemon may spend on control.
QUESTIONS_PER_SECOND = 128
# Questions that may be asked at once: one search among all engines of the
# largest fleet, or some thirty in one of 200 engines.
MAX_QUESTION_COUNT = 4_800


class QuestionBudget:
    """Admit questions up to a rate. Not thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._credit_count = float(MAX_QUESTION_COUNT)
        self._counted_at_seconds = clock()

    def take(self, count: int) -> bool:
        """Return whether so many questions may be asked now, and count them."""
        now_seconds = self._clock()
        earned_count = QUESTIONS_PER_SECOND * (
            now_seconds - self._counted_at_seconds
        )
        self._counted_at_seconds = now_seconds
        self._credit_count = min(
            self._credit_count + earned_count, MAX_QUESTION_COUNT
        )
        if count > self._credit_count:
            return False
        self._credit_count -= count
        return True
