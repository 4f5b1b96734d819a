"""Starts of engines that an entry knows from elsewhere than the list."""

import math
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from wasabistream.engine_starts.start_messages import EngineStartReport
from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet
from wasabistream.run_endings.boot_clocks import read_boot_clock

# Agents report at least once a second, so one that was heard less recently may
# have missed a restart of its engine, or this process was paused.
MAX_REPORT_AGE_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class EngineStart:
    """Hold a start of an engine and the version of its software.

    The version is empty if it is not known.
    """

    service: str
    started_unix_ms: int
    software_version: str = ''
    # The listed start that this one has replaced, if no open link to the agent
    # tells whether it still serves. Once the list states another start, this
    # one is out of date.
    refuted_unix_ms: int | None = None


class EngineStartTable:
    """Keep what agents and engines state about the starts of engines.

    The list of an entry that is cut from the store and its peers falls behind,
    but its links to the agents and engines may still work. The version of a
    start never changes, so a list of any age is right about the starts that it
    names.
    """

    def __init__(
        self, boot_clock: Callable[[], float] = read_boot_clock
    ) -> None:
        self._boot_clock = boot_clock
        self._lock = threading.Lock()
        self._starts: dict[str, EngineStart] = {}
        self._heard_at_seconds: dict[str, float] = {}
        # Starts as the list states them, of the engines in `_starts`.
        self._listed_unix_ms: dict[str, int] = {}
        # Called when the fleet has to be corrected.
        self.on_change: Callable[[], None] = _ignore_change

    def record_report(self, report: EngineStartReport) -> None:
        """Use what the agent of an engine reports."""
        with self._lock:
            self._starts[report.endpoint] = EngineStart(
                report.service, report.started_unix_ms, report.software_version
            )
            self._heard_at_seconds[report.endpoint] = self._boot_clock()

    def record_sign_of_life(self, endpoint: str) -> None:
        """Record that an agent, which reports each change, was heard."""
        self._heard_at_seconds[endpoint] = self._boot_clock()

    def record_silent_engine(self, endpoint: str) -> None:
        """Record that an engine, which may restart, answers no polls."""
        self._heard_at_seconds.pop(endpoint, None)

    def record_answer(
        self, server: BackendServer, started_unix_ms: int
    ) -> None:
        """Use what an engine itself states, against the list."""
        with self._lock:
            known = self._starts.get(server.endpoint)
            if known is not None and known.started_unix_ms == started_unix_ms:
                return
            self._starts[server.endpoint] = EngineStart(
                server.service,
                started_unix_ms,
                refuted_unix_ms=self._listed_unix_ms.get(
                    server.endpoint, server.started_unix_ms
                ),
            )
        self.on_change()

    def forget_link(self, endpoint: str) -> None:
        """Record that the link to an agent has ended.

        A start that was over when it was open is over for good.
        """
        with self._lock:
            self._heard_at_seconds.pop(endpoint, None)
            start = self._starts.pop(endpoint, None)
            listed_unix_ms = self._listed_unix_ms.get(endpoint)
            if start is None or listed_unix_ms in {None, start.started_unix_ms}:
                return
            self._starts[endpoint] = replace(
                start, refuted_unix_ms=listed_unix_ms
            )

    def is_confirmed(
        self, server: BackendServer, since_seconds: float = -math.inf
    ) -> bool:
        """Return whether the agent says that this start serves now.

        The agent must have been heard since a time of the boot clock: one that
        stands still does not know of a later restart.
        """
        start = self._starts.get(server.endpoint)
        if start is None or start.refuted_unix_ms is not None:
            return False
        if start.started_unix_ms != server.started_unix_ms:
            return False
        heard_at_seconds = self._heard_at_seconds.get(
            server.endpoint, -math.inf
        )
        oldest_seconds = self._boot_clock() - MAX_REPORT_AGE_SECONDS
        return heard_at_seconds >= max(oldest_seconds, since_seconds)

    def apply(self, fleet: Fleet) -> Fleet:
        """Return the listed fleet with the starts that are known to serve."""
        newest = fleet.newest_servers() if self._starts else {}
        with self._lock:
            self._drop_outdated(newest)
            starts = {
                endpoint: start
                for endpoint, start in self._starts.items()
                if endpoint in newest
            }
            self._listed_unix_ms = {
                endpoint: newest[endpoint].started_unix_ms
                for endpoint in starts
            }
        corrected = {
            # Engines that only their agents announce have no id.
            newest[endpoint].server_id or endpoint: replace(
                newest[endpoint],
                started_unix_ms=start.started_unix_ms,
                software_version=start.software_version,
            )
            for endpoint, start in starts.items()
            if is_other_start(newest[endpoint], start)
        }
        if not corrected:
            return fleet
        return replace(fleet, servers={**fleet.servers, **corrected})

    def _drop_outdated(self, newest: Mapping[str, BackendServer]) -> None:
        outdated = [
            endpoint
            for endpoint, start in self._starts.items()
            if start.refuted_unix_ms is not None
            and _find_start(newest.get(endpoint)) != start.refuted_unix_ms
        ]
        for endpoint in outdated:
            self._starts.pop(endpoint)


def _find_start(server: BackendServer | None) -> int | None:
    return None if server is None else server.started_unix_ms


def is_other_start(
    server: BackendServer, start: EngineStart | EngineStartReport
) -> bool:
    """Return whether a start is another one than that of a listed server."""
    if not start.started_unix_ms or start.service != server.service:
        return False
    if not server.started_unix_ms:
        # A listed server without its start cannot be compared.
        return not server.server_id
    if server.started_unix_ms != start.started_unix_ms:
        return True
    return bool(start.software_version) and not server.software_version


def _ignore_change() -> None:
    """Do nothing."""
