"""Waits of tests, with time limits."""

import time
from collections.abc import Callable

WAIT_SECONDS = 10
POLL_SECONDS = 0.01
# Time for another thread to overtake a delivery, if it can.
OVERTAKING_SECONDS = 0.3


def wait_for(
    condition: Callable[[], object], limit_seconds: float = WAIT_SECONDS
) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    deadline = time.monotonic() + limit_seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return False
