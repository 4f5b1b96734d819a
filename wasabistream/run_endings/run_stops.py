"""Runs that an agent has its engine stop."""

import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

# Stopped runs that are kept; an engine has some tens at once.
MAX_STOP_COUNT = 1024


@dataclass(frozen=True, slots=True)
class RunStop:
    """Hold when a run was stopped, and the handle of its memory."""

    at_seconds: float
    handle: str


class StopOrder:
    """An order to stop a run; the run counts as stopped unless withdrawn."""

    def __init__(self) -> None:
        self.has_stopped = True
        # Identifies the memory from which the stream goes on, if it does.
        self.handle = ''

    def withdraw(self) -> None:
        """State that the order has not stopped the run."""
        self.has_stopped = False


class RunStops:
    """Record orders that stop runs, from before each one is sent."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        # Orders in progress by run.
        self._in_progress: Counter[str] = Counter()
        # The last stop of each stopped run.
        self._stops: OrderedDict[str, RunStop] = OrderedDict()

    @contextmanager
    def order(self, run_id: str) -> Iterator[StopOrder]:
        """Record an order for the time in which its outcome is open."""
        with self._changed:
            self._in_progress[run_id] += 1
        order = StopOrder()
        try:
            yield order
        finally:
            with self._changed:
                self._in_progress[run_id] -= 1
                self._in_progress += Counter()
                if order.has_stopped:
                    self._add(run_id, RunStop(self._clock(), order.handle))
                self._changed.notify_all()

    def wait_until_decided(self, run_id: str, limit_seconds: float) -> bool:
        """Wait for orders in progress; return whether none is left."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._in_progress[run_id], limit_seconds
            )

    def has_stopped(
        self, run_id: str, since_seconds: float, used_handles: Collection[str]
    ) -> bool:
        """Return whether a run was stopped at this time or later.

        A stop from whose memory the stream has gone on does not count: the run
        is a later one, which has come back to the engine.
        """
        stop = self._stops.get(run_id)
        return (
            stop is not None
            and stop.at_seconds >= since_seconds
            and stop.handle not in used_handles
        )

    def _add(self, run_id: str, stop: RunStop) -> None:
        self._stops.pop(run_id, None)
        self._stops[run_id] = stop
        while len(self._stops) > MAX_STOP_COUNT:
            self._stops.popitem(last=False)
