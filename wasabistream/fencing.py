"""Fencing numbers of the orders to one engine."""

import time
from collections.abc import Callable

from wasabistream.units import MILLISECONDS_PER_SECOND


class FencingTokenCounter:
    """Give numbers that grow across restarts of the agent."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._last = 0

    def next_token(self, reported: int = 0) -> int:
        """Return a number above all given and above the engine's own.

        The time alone can go back; the number that the engine reports keeps
        the order of numbers then.
        """
        now = int(self._wall_clock() * MILLISECONDS_PER_SECOND)
        self._last = max(now, self._last + 1, reported + 1)
        return self._last
