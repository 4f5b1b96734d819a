"""Paces of engines as their agents report them to an entry."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.paces.engine_paces import UNKNOWN_PACE, EnginePace
from wasabistream.paces.pace_reports import read_pace
from wasabistream.scheduling.scheduling_messages import EnginePaceReport


@dataclass(frozen=True, slots=True)
class _ReportedPace:
    pace: EnginePace
    received_at_seconds: float


class PaceBoard:
    """Hold the last reported pace of each engine."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._paces: dict[str, _ReportedPace] = {}
        # Id and start time of the listed servers, by endpoint.
        self._incarnations: dict[str, tuple[str, int]] = {}

    def report(self, endpoint: str, report: EnginePaceReport) -> None:
        """Record the newest report of an agent."""
        reported = _ReportedPace(read_pace(report), self._clock())
        with self._lock:
            self._paces[endpoint] = reported

    def drop(self, endpoint: str) -> None:
        """Discard the pace of an engine whose agent is no longer linked."""
        with self._lock:
            self._paces.pop(endpoint, None)

    def keep_only(self, servers: Iterable[BackendServer]) -> None:
        """Discard the paces of engines that started anew.

        An unlisted server's pace is kept while its link is open, as it would
        not be reported again when the server returns to the list.
        """
        listed = {
            server.endpoint: (server.server_id, server.started_unix_ms)
            for server in servers
        }
        with self._lock:
            known = self._incarnations
            for address in known.keys() & listed.keys():
                if known[address] != listed[address]:
                    self._paces.pop(address, None)
            kept = {
                endpoint: known[endpoint]
                for endpoint in known.keys() & self._paces.keys()
            }
            self._incarnations = {**kept, **listed}

    def pace(self, endpoint: str) -> EnginePace:
        """Return the pace of an engine; UNKNOWN_PACE without a report."""
        with self._lock:
            reported = self._paces.get(endpoint)
        return UNKNOWN_PACE if reported is None else reported.pace

    def age_seconds(self, endpoint: str) -> float | None:
        """Return the time since the last report; None without one."""
        with self._lock:
            reported = self._paces.get(endpoint)
        if reported is None:
            return None
        return self._clock() - reported.received_at_seconds
