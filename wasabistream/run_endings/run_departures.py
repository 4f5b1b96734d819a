"""When an engine that leaves has ceased to list its runs."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from wasabistream.forwarding.engine_states import EngineState

# Runs that end by themselves rarely end so close to one another.
CONCURRENT_END_SECONDS = 0.2
# Departed runs that are kept; an engine has some tens at once.
MAX_DEPARTURE_COUNT = 1024


class RunDepartures:
    """Observe which runs an engine that leaves ceases to list at one moment."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._listed: frozenset[str] = frozenset()
        # When runs were first missing; the oldest are evicted.
        self._departed_at_seconds: OrderedDict[str, float] = OrderedDict()

    def record(self, state: EngineState) -> None:
        """Compare the runs of an engine with those of the poll before."""
        listed = frozenset(run.run_id for run in state.runs)
        now = self._clock()
        with self._lock:
            if state.leaving:
                for run_id in self._listed - listed:
                    self._departed_at_seconds[run_id] = now
            self._listed = listed
            while len(self._departed_at_seconds) > MAX_DEPARTURE_COUNT:
                self._departed_at_seconds.popitem(last=False)

    def find_concurrent(self, run_id: str) -> list[str]:
        """Return the other runs that departed within CONCURRENT_END_SECONDS."""
        with self._lock:
            at_seconds = self._departed_at_seconds.get(run_id)
            if at_seconds is None:
                return []
            return [
                other
                for other, other_at_seconds in self._departed_at_seconds.items()
                if other != run_id
                and abs(other_at_seconds - at_seconds) <= CONCURRENT_END_SECONDS
            ]
