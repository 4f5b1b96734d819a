"""Times of long polls.

A poll whose answer is lost looks like one that waits for a change, so its
time-out decides how long its caller may hold outdated contents.
"""

import random
from dataclasses import dataclass

# Parts of the recovery time for the wait of a poll and for the whole poll. The
# rest is left for the pause after a lost answer and for the next answer.
WAIT_RATIO = 1 / 3
TIMEOUT_RATIO = 2 / 3
MAX_WAIT_SECONDS = 5.0
# A slow peer takes some hundred milliseconds for an answer.
MIN_TIMEOUT_SECONDS = 0.5
# The first poll after a failure is short, so that its answer soon shows whether
# the peer is back.
FIRST_WAIT_SECONDS = 0.1
JITTER_RATIOS = (0.5, 1.5)
# An answer that arrives faster than this is read to its end, however long it
# takes: it may hold a whole configuration, and a busy process or a slow link
# needs more than the time-out for it.
MIN_ANSWER_BYTES_PER_SECOND = 64 * 1024
# Multiple of the time-out; contents may be outdated after a longer silence.
MAX_ANSWER_AGE_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class LongPollLimits:
    """Limit the times of a long poll."""

    # Time after which the peer answers although nothing has changed.
    wait_seconds: float
    # Time after which the answer counts as lost.
    timeout_seconds: float

    @property
    def max_answer_age_seconds(self) -> float:
        """Return the age of the last answer at which contents are doubtful."""
        return self.timeout_seconds * MAX_ANSWER_AGE_RATIO


def build_long_poll_limits(recovery_seconds: float) -> LongPollLimits:
    """Return limits that replace a lost answer within `recovery_seconds`."""
    return LongPollLimits(
        wait_seconds=min(recovery_seconds * WAIT_RATIO, MAX_WAIT_SECONDS),
        timeout_seconds=max(
            recovery_seconds * TIMEOUT_RATIO, MIN_TIMEOUT_SECONDS
        ),
    )


class LongPollPacer:
    """Choose how long the next poll waits and when it follows a failure."""

    def __init__(
        self,
        limits: LongPollLimits,
        retry_min_seconds: float,
        retry_max_seconds: float,
    ) -> None:
        self.limits = limits
        self._retry_min_seconds = retry_min_seconds
        self._retry_max_seconds = retry_max_seconds
        self._retry_seconds = retry_min_seconds
        self._has_failed = False

    def choose_wait_seconds(self) -> float:
        """Return how long the next poll waits for a change."""
        if self._has_failed:
            return min(FIRST_WAIT_SECONDS, self.limits.wait_seconds)
        return self.limits.wait_seconds

    def record_answer(self) -> None:
        """Return to long polls."""
        self._has_failed = False
        self._retry_seconds = self._retry_min_seconds

    def record_failure(self) -> float:
        """Return the pause in seconds before the next poll."""
        self._has_failed = True
        pause_seconds = self._retry_seconds * random.uniform(*JITTER_RATIOS)
        self._retry_seconds = min(
            self._retry_seconds * 2, self._retry_max_seconds
        )
        return pause_seconds
