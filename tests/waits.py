"""Bounded waits of tests."""

import time
from collections.abc import Callable

WAIT_SECONDS = 10
POLL_SECONDS = 0.02


def wait_for(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; tell whether it did."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return False
