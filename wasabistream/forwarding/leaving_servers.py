"""Backend servers that state in their answers that they leave."""

import logging
import threading
import time
from collections.abc import Callable, Iterable

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.server_records import ServerRecords
from wasabistream.metrics import LEAVING_SERVERS

logger = logging.getLogger(__name__)


class LeavingServers:
    """Remember which servers stated that they leave, until they have left.

    The server's own statement counts also while the store lists it as ready or
    does not answer. It ends with a restart, or with another server at the address.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Monotonic time of the first statement.
        self._leaving_since: ServerRecords[float] = ServerRecords(clock)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has stated that it leaves."""
        with self._lock:
            return self._leaving_since.find(server) is not None

    def record(self, server: BackendServer) -> None:
        """Record that a server states that it leaves."""
        with self._lock:
            is_known = self._leaving_since.find(server) is not None
            if is_known or self._leaving_since.is_outdated(server):
                return
            self._leaving_since.put(server, self._clock())
            self._update_gauge()
        logger.info(
            'server: states that it leaves',
            extra={
                'peer': server.endpoint,
                'server': server.server_id,
                'listed_as_draining': server.draining,
            },
        )

    def on_fleet_changed(self, servers: Iterable[BackendServer]) -> None:
        """Forget servers that have ended or restarted."""
        with self._lock:
            self._leaving_since.on_servers_changed(servers)
            self._update_gauge()

    def _update_gauge(self) -> None:
        LEAVING_SERVERS.set(len(self._leaving_since))
