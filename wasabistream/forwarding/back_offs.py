"""Backend servers that asked this entry to come back later."""

import logging
import threading
import time
from collections.abc import Callable, Iterable

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.server_records import ServerRecords
from wasabistream.metrics import BACK_OFFS

logger = logging.getLogger(__name__)

# A server that states a wrong time must not be out of use for good.
MAX_BACK_OFF_SECONDS = 300.0


class BackOffs:
    """Hold until when servers that turned requests away want no more.

    A server states the time to one entry, so that none is shared.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Monotonic time at which the server takes requests again.
        self._until_seconds: ServerRecords[float] = ServerRecords(clock)

    def wait_seconds(self, server: BackendServer) -> float:
        """Return the time until a server takes requests again."""
        with self._lock:
            until = self._until_seconds.find(server)
        return 0 if until is None else max(until - self._clock(), 0)

    def record(self, server: BackendServer, retry_after_seconds: float) -> None:
        """Send a server nothing for a time; a shorter one changes nothing."""
        seconds = min(retry_after_seconds, MAX_BACK_OFF_SECONDS)
        until = self._clock() + seconds
        with self._lock:
            before = self._until_seconds.find(server)
            if self._until_seconds.is_outdated(server):
                return
            if before is not None and before >= until:
                return
            self._until_seconds.put(server, until)
        BACK_OFFS.inc()
        logger.info(
            'server: wants no requests for a time',
            extra={
                'peer': server.endpoint,
                'server': server.server_id,
                'retry_after_seconds': retry_after_seconds,
            },
        )

    def on_fleet_changed(self, servers: Iterable[BackendServer]) -> None:
        """Forget servers that have ended or restarted."""
        with self._lock:
            self._until_seconds.on_servers_changed(servers)
