"""Expected time until a waiting request finds room."""

import math
from collections import deque
from collections.abc import Callable

RATE_WINDOW_SECONDS = 4.0
# Spread of Retry-After, so that refused callers do not return together.
MAX_JITTER_RATIO = 0.5


class RoomRate:
    """Measure the tokens per second for which waiting requests found room.

    Not thread-safe: the owner must hold its own lock around each method.
    """

    def __init__(self) -> None:
        # Time and expected tokens of each request that found room.
        self._starts: deque[tuple[float, int]] = deque()
        # Since when requests have been waiting without a break.
        self._scarce_since_seconds = math.inf

    def record_waiting(self, count: int, now_seconds: float) -> None:
        """Record how many requests wait."""
        if not count:
            self._scarce_since_seconds = math.inf
        elif math.isinf(self._scarce_since_seconds):
            self._scarce_since_seconds = now_seconds

    def record_start(self, tokens: int, now_seconds: float) -> None:
        """Record a request that found room."""
        self._starts.append((now_seconds, tokens))
        self._trim(now_seconds)

    def expect_wait(self, tokens_ahead: float, now_seconds: float) -> float:
        """Return the seconds until requests of so many tokens have started.

        While requests have not waited for a whole window, starts show the
        demand rather than the room, so that the wait is not known and 0 is
        returned.
        """
        self._trim(now_seconds)
        scarce_seconds = now_seconds - self._scarce_since_seconds
        if not tokens_ahead or scarce_seconds < RATE_WINDOW_SECONDS:
            return 0
        started_tokens = sum(tokens for _, tokens in self._starts)
        if not started_tokens:
            return math.inf
        return tokens_ahead * RATE_WINDOW_SECONDS / started_tokens

    def _trim(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - RATE_WINDOW_SECONDS
        while self._starts and self._starts[0][0] < oldest_seconds:
            self._starts.popleft()


def spread_wait(
    wait_seconds: float,
    max_seconds: float,
    draw_ratio: Callable[[], float],
) -> float:
    """Return a wait to state to a caller: 1 to 1.5 times the expected one.

    `draw_ratio` returns random numbers from 0 to 1. `max_seconds` bounds the
    expected wait, which is infinite while no room becomes free.
    """
    jitter_ratio = 1 + MAX_JITTER_RATIO * draw_ratio()
    return min(wait_seconds, max_seconds) * jitter_ratio
