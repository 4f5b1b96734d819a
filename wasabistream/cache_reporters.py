"""Reports of the prompt prefixes in an engine's cache."""

import logging
import threading
from collections.abc import Callable

from wasabistream.backend_views import PREFIX_HASH_MASK
from wasabistream.digests import hash64
from wasabistream.engines import EngineClient, EngineState
from wasabistream.exceptions import BackendError
from wasabistream.notices import CacheReport

logger = logging.getLogger(__name__)

# A report of 32 hashes has about 170 bytes. With at most one report in 10 s on
# each link, 196 agents send 3.4 KB/s to an entry, whose budget is 8 KB/s.
REPORT_INTERVAL_SECONDS = 10.0
MAX_REPORTED_PREFIX_COUNT = 32


class CacheReporter:
    """Send entries the hashes of the newest cached prefixes on a change."""

    def __init__(
        self, engine: EngineClient, broadcast: Callable[[CacheReport], None]
    ) -> None:
        self._engine = engine
        self._broadcast = broadcast
        self._stopped = threading.Event()
        self.current = CacheReport([])

    def start(self) -> None:
        """Start reading the state of the engine periodically."""
        threading.Thread(target=self._run, name='caches', daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after the read in progress."""
        self._stopped.set()

    def report_if_changed(self) -> None:
        """Read the state of the engine; send a report if it has changed."""
        try:
            state = self._engine.state()
        except BackendError as error:
            # Expected now and then; entries keep the last report.
            logger.debug('agent: engine state not read: %s', error)
            return
        report = build_cache_report(state)
        if set(report.prefixes) != set(self.current.prefixes):
            self.current = report
            self._broadcast(report)

    def _run(self) -> None:
        while not self._stopped.wait(REPORT_INTERVAL_SECONDS):
            self.report_if_changed()


def build_cache_report(state: EngineState) -> CacheReport:
    """Return a report with the hashes of the newest cached prefixes.

    Entries compute the same hashes from model and prompt.
    """
    hashes = [
        hash64(model, prefix) & PREFIX_HASH_MASK
        for prefix in state.prefixes
        for model in state.models
    ]
    return CacheReport(hashes[-MAX_REPORTED_PREFIX_COUNT:])
