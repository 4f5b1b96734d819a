"""Rate limit for requests to cold backend servers (slow start)."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.sliding_windows import SlidingWindow

WINDOW_SECONDS = 1.0
# Part of the limit that the entries use: their windows are not aligned, and
# they learn of a change in the number of entries with a delay.
USE_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit the requests per second to one cold backend server.

    The limit holds for all entries together.
    """

    ratio: float
    extra_count: float


@dataclass(slots=True)
class _ColdServer:
    entry: BackendServer
    cold_since_seconds: float
    cold_until_seconds: float
    # Part of a window to wait before the first request, from 0 to 1.
    phase_ratio: float
    sent_requests: SlidingWindow


class ColdLimiter:
    """Limit this entry's requests to each cold backend server."""

    def __init__(
        self,
        limit: ColdLimit,
        count_entries: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        pick_phase_ratio: Callable[[], float] = random.random,
    ) -> None:
        self._limit = limit
        self._count_entries = count_entries
        self._clock = clock
        self._pick_phase_ratio = pick_phase_ratio
        self._lock = threading.Lock()
        self._servers: dict[str, _ColdServer] = {}

    def on_fleet_changed(self, fleet: Fleet) -> None:
        """Record which backend servers are cold and until when."""
        now = self._clock()
        with self._lock:
            for endpoint in list(self._servers):
                if self._servers[endpoint].cold_until_seconds < now:
                    self._servers.pop(endpoint)
            for server in fleet.servers.values():
                existing = self._servers.get(server.endpoint)
                if existing is not None and existing.entry == server:
                    continue
                if server.cold_remaining_seconds > 0:
                    cold_until = now + server.cold_remaining_seconds
                    self._servers[server.endpoint] = _ColdServer(
                        entry=server,
                        cold_since_seconds=now,
                        cold_until_seconds=cold_until,
                        phase_ratio=self._pick_phase_ratio(),
                        sent_requests=SlidingWindow(self._clock),
                    )

    def admits(self, server: BackendServer, requests_per_second: float) -> bool:
        """Return whether this entry may send a server one more request."""
        if not requests_per_second:
            return True
        with self._lock:
            cold = self._find(server)
            if cold is None:
                return True
            limit_per_second = (
                requests_per_second * self._limit.ratio
                + self._limit.extra_count
            )
            own_share = (
                limit_per_second * USE_RATIO / max(self._count_entries(), 1)
            )
            if own_share >= 1:
                return cold.sent_requests.count(WINDOW_SECONDS) + 1 <= own_share
            return own_share > 0 and self._admits_single_request(
                cold, WINDOW_SECONDS / own_share
            )

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is listed as cold."""
        with self._lock:
            return self._find(server) is not None

    def add_sent_request(self, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        with self._lock:
            cold = self._find(server)
            if cold is not None:
                cold.sent_requests.add()

    def _admits_single_request(
        self, cold: _ColdServer, window_seconds: float
    ) -> bool:
        # The share is below one request per window, so each entry sends one
        # request in a longer window. Random phases keep many entries from
        # sending their first request at the same time.
        cold_seconds = self._clock() - cold.cold_since_seconds
        if cold_seconds < cold.phase_ratio * window_seconds:
            return False
        return not cold.sent_requests.count(window_seconds)

    def _find(self, server: BackendServer) -> _ColdServer | None:
        cold = self._servers.get(server.endpoint)
        if cold is None or cold.cold_until_seconds < self._clock():
            return None
        return cold
