"""Updates of the view of the fleet."""

import logging
import math
import threading
import time
from collections.abc import Callable, Mapping

from wasabistream.forwarding.announced_engines import (
    AnnouncedEngines,
    EngineAnnouncement,
    add_announced,
)
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.metrics import CONFIGURATION_VERSION, LISTED_SERVERS

logger = logging.getLogger(__name__)

# Backend servers that have left the list serve for some seconds, at times for
# many, and their agents announce them meanwhile.
DELISTED_MEMORY_SECONDS = 120.0


class FleetUpdater:
    """Build the view of the fleet from the store's items.

    While the store is lost, engines that agents announce to the entries are
    added to it.
    """

    def __init__(
        self,
        holder: FleetHolder,
        decode: Callable[[Mapping[str, MirrorItem]], Fleet],
        announced_engines: AnnouncedEngines,
        is_store_lost: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._decode = decode
        self._announced_engines = announced_engines
        self._is_store_lost = is_store_lost
        self._clock = clock
        # Corrects what the list says of starts of engines.
        self.correct: Callable[[Fleet], Fleet] = _take_as_listed
        self._lock = threading.Lock()
        self._stored_fleet = Fleet()
        # When each endpoint left the list. An engine that was announced before
        # is the one that has left.
        self._delisted_at_seconds: dict[str, float] = {}
        self._handlers: list[Callable[[Fleet], None]] = []

    def subscribe(self, handler: Callable[[Fleet], None]) -> None:
        """Call the handler with each new view."""
        self._handlers.append(handler)

    def apply_items(self, items: Mapping[str, MirrorItem]) -> None:
        """Rebuild the view from the items of the store."""
        with self._lock:
            before = self._stored_fleet
            self._stored_fleet = self._decode(items)
            self._record_delisted(before)
        self.refresh()

    def refresh(self) -> None:
        """Rebuild the view; call on changes of the store's or agents' state."""
        with self._lock:
            fleet = self._stored_fleet
            if self._is_store_lost():
                fleet = add_announced(fleet, self._list_new_engines())
            fleet = self.correct(fleet)
            before = self._holder.current
            if fleet == before:
                return
            if fleet.configuration is not before.configuration:
                self._holder.configured_at_seconds = time.monotonic()
            self._holder.current = fleet
            for handler in self._handlers:
                handler(fleet)
            # Under the lock, so that gauges and log lines stay in order.
            _report_change(before, fleet)

    def _record_delisted(self, before: Fleet) -> None:
        now = self._clock()
        listed = _endpoints(self._stored_fleet)
        for endpoint in _endpoints(before) - listed:
            self._delisted_at_seconds[endpoint] = now
        # Later announcements are of an engine that has started since then.
        oldest = now - DELISTED_MEMORY_SECONDS
        for endpoint, seconds in list(self._delisted_at_seconds.items()):
            if endpoint in listed or seconds < oldest:
                self._delisted_at_seconds.pop(endpoint)

    def _list_new_engines(self) -> list[EngineAnnouncement]:
        return [
            engine
            for engine, presence in self._announced_engines.presences().items()
            if presence.first_seconds
            > self._delisted_at_seconds.get(engine.endpoint, -math.inf)
        ]


def _endpoints(fleet: Fleet) -> set[str]:
    return {server.endpoint for server in fleet.servers.values()}


def _take_as_listed(fleet: Fleet) -> Fleet:
    return fleet


def _report_change(before: Fleet, fleet: Fleet) -> None:
    LISTED_SERVERS.set(len(fleet.servers))
    configuration = fleet.configuration
    if configuration is not None:
        CONFIGURATION_VERSION.set(configuration.version)
    if configuration is not None and before.configuration is not configuration:
        logger.info(
            'fleet: configuration in force',
            extra={'version': configuration.version},
        )
    servers_before = set(before.servers)
    logger.info(
        'fleet: changed',
        extra={
            'added': sorted(set(fleet.servers) - servers_before),
            'removed': sorted(servers_before - set(fleet.servers)),
            'draining': sorted(
                server.server_id
                for server in fleet.servers.values()
                if server.draining
            ),
            'out': sorted(fleet.data_centres_out),
        },
    )
