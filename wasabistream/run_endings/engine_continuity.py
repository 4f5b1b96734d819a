"""Since when an agent has known the present start of its engine."""

import math
import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.engine_states import EngineState
from wasabistream.run_endings.run_departures import RunDepartures

# Consecutive failed polls after which an engine that does not state its start
# may have restarted.
RESTART_POLL_COUNT = 2


class EngineContinuity:
    """Observe polls for restarts of an engine."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._started_unix_ms = 0
        self._failed_poll_count = 0
        # Time of the first answer of the present start.
        self._since_seconds = math.inf
        self._has_restarted = False
        self.departures = RunDepartures(clock)

    @property
    def has_restarted(self) -> bool:
        """Return whether an earlier start of the engine was observed."""
        return self._has_restarted

    def serves_since(self, at_seconds: float) -> bool:
        """Return whether the present start answered at this time or before."""
        return self._since_seconds <= at_seconds

    def record_failed_poll(self) -> None:
        """Count a poll that the engine has not answered."""
        with self._lock:
            self._failed_poll_count += 1

    def record_answered_poll(self, state: EngineState) -> None:
        """Compare the engine's start and runs with those of the poll before."""
        self.departures.record(state)
        with self._lock:
            if self._since_seconds == math.inf:
                self._since_seconds = self._clock()
            elif self._is_new_start(state):
                self._since_seconds = self._clock()
                self._has_restarted = True
            self._started_unix_ms = state.started_unix_ms
            self._failed_poll_count = 0

    def _is_new_start(self, state: EngineState) -> bool:
        if state.started_unix_ms and self._started_unix_ms:
            return state.started_unix_ms != self._started_unix_ms
        return self._failed_poll_count >= RESTART_POLL_COUNT
