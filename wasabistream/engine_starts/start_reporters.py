"""Reports of an engine's start from its agent to the entries."""

import threading
from collections.abc import Callable

from wasabistream.engine_starts.start_messages import EngineStartReport


class StartReporter:
    """Send the start of an engine in the order of its changes.

    The start changes on the thread that polls the engine, its version on the one
    that reads the links. Entries keep the last report that they get, so an older
    one must not follow a newer one.
    """

    def __init__(self, build_report: Callable[[], EngineStartReport]) -> None:
        self._build_report = build_report
        self._lock = threading.Lock()

    def report(self, send: Callable[[EngineStartReport], None]) -> None:
        """Send the present start; must not wait for another report."""
        with self._lock:
            send(self._build_report())
