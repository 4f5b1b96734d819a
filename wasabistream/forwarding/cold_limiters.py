"""Limit of requests to backend servers that are cold."""

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet

WINDOW_SECONDS = 1.0
# Part of the limit that is used: entries' windows are not aligned, and the
# number of entries is known with a delay.
USE_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Bound the requests in a second to one cold backend server.

    The bound holds for all entries together.
    """

    ratio: float
    extra_count: float


@dataclass(slots=True)
class _ColdServer:
    entry: BackendServer
    cold_until_seconds: float
    sent_seconds: deque[float] = field(default_factory=deque)


class ColdLimiter:
    """Give a cold backend server no more than this entry's part."""

    def __init__(
        self,
        limit: ColdLimit,
        count_entries: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._count_entries = count_entries
        self._clock = clock
        self._lock = threading.Lock()
        self._servers: dict[str, _ColdServer] = {}

    def follow(self, fleet: Fleet) -> None:
        """Note which backend servers are cold and for how long."""
        now = self._clock()
        with self._lock:
            for endpoint in list(self._servers):
                if self._servers[endpoint].cold_until_seconds < now:
                    self._servers.pop(endpoint)
            for server in fleet.servers.values():
                known = self._servers.get(server.endpoint)
                if known is not None and known.entry == server:
                    continue
                if server.cold_remaining_seconds > 0:
                    until = now + server.cold_remaining_seconds
                    self._servers[server.endpoint] = _ColdServer(server, until)

    def admits(self, server: BackendServer, requests_per_second: float) -> bool:
        """Tell whether a server bears one more request of this entry."""
        if not requests_per_second:
            return True
        with self._lock:
            cold = self._find(server)
            if cold is None:
                return True
            bound = (
                requests_per_second * self._limit.ratio
                + self._limit.extra_count
            )
            own = max(bound * USE_RATIO / max(self._count_entries(), 1), 1)
            return len(cold.sent_seconds) + 1 <= own

    def is_cold(self, server: BackendServer) -> bool:
        """Tell whether the list shows a server as cold."""
        with self._lock:
            return self._find(server) is not None

    def sent(self, server: BackendServer) -> None:
        """Count a request that is sent."""
        with self._lock:
            cold = self._find(server)
            if cold is not None:
                cold.sent_seconds.append(self._clock())

    def _find(self, server: BackendServer) -> _ColdServer | None:
        cold = self._servers.get(server.endpoint)
        now = self._clock()
        if cold is None or cold.cold_until_seconds < now:
            return None
        times = cold.sent_seconds
        while times and times[0] < now - WINDOW_SECONDS:
            times.popleft()
        return cold
