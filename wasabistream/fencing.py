"""Fencing tokens of the orders to one engine.

An engine that checks them refuses an order whose token is lower than one it has
seen, so that an agent process that was paused cannot undo newer orders.
"""

import time
from collections.abc import Callable

from wasabistream.units import MILLISECONDS_PER_SECOND


class FencingTokenCounter:
    """Create tokens that keep increasing across restarts of the agent."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._last_token = 0

    def next_token(self, reported_token: int = 0) -> int:
        """Return a token above all earlier ones and the one the engine reports.

        The wall clock alone can go back; the reported token keeps the tokens
        increasing then.
        """
        now_milliseconds = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        self._last_token = max(
            now_milliseconds, self._last_token + 1, reported_token + 1
        )
        return self._last_token
