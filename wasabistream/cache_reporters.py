"""Reporter of the prompt prefixes that an engine holds."""

import logging
import threading
from collections.abc import Callable

from wasabistream.backend_views import PREFIX_MASK
from wasabistream.digests import hash64
from wasabistream.engines import EngineClient, EngineState
from wasabistream.exceptions import BackendError
from wasabistream.notices import CacheReport

logger = logging.getLogger(__name__)

# A report of 32 hashes has about 170 bytes; at most one in 10 s and link
# keeps 196 agents within 3.4 KB/s of the budget of 8 KB/s for an entry.
CACHE_INTERVAL_SECONDS = 10.0
MAX_PREFIX_COUNT = 32


class CacheReporter:
    """Send the hashes of the newest prefixes when they have changed."""

    def __init__(
        self, engine: EngineClient, broadcast: Callable[[CacheReport], None]
    ) -> None:
        self._engine = engine
        self._broadcast = broadcast
        self._stopped = threading.Event()
        self.current = CacheReport([])

    def start(self) -> None:
        """Start to read the engine."""
        threading.Thread(target=self._run, name='caches', daemon=True).start()

    def stop(self) -> None:
        """Stop after the read in progress."""
        self._stopped.set()

    def refresh(self) -> None:
        """Read the engine once and report what has changed."""
        try:
            state = self._engine.state()
        except BackendError as error:
            # Gaps are expected; the entries keep what they know.
            logger.debug('agent: no cache state: %s', error)
            return
        report = build_report(state)
        if set(report.prefixes) != set(self.current.prefixes):
            self.current = report
            self._broadcast(report)

    def _run(self) -> None:
        while not self._stopped.wait(CACHE_INTERVAL_SECONDS):
            self.refresh()


def build_report(state: EngineState) -> CacheReport:
    """Return the hashes by which entries know the prefixes of an engine."""
    hashes = [
        hash64(model, prefix) & PREFIX_MASK
        for prefix in state.prefixes
        for model in state.models
    ]
    return CacheReport(hashes[-MAX_PREFIX_COUNT:])
