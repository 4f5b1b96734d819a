"""Engines that agents announce to the entries themselves."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import BackendServer
from wasabistream.forwarding.fleets import Fleet
from wasabistream.messages import Message, message

ANNOUNCE_SECONDS = 1.0
# Three announcements; an engine that was not heard for longer is not used.
ALIVE_SECONDS = 3.5


@message(88)
@dataclass(frozen=True, slots=True)
class EngineAnnouncement(Message):
    """Tell an entry that an engine serves beside the sender."""

    endpoint: str
    service: str
    data_centre: str


class ObservedEngines:
    """Keep the engines that were announced lately.

    The store's list goes first. While the store is away, engines that have
    started since are known only from their agents.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._heard: dict[EngineAnnouncement, float] = {}

    def hear(self, announcement: EngineAnnouncement) -> bool:
        """Record an announcement; tell whether the engine is new."""
        with self._lock:
            new = announcement not in self._heard
            self._heard[announcement] = self._clock()
            return new

    def alive(self) -> list[EngineAnnouncement]:
        """Return the engines that were heard lately."""
        oldest = self._clock() - ALIVE_SECONDS
        with self._lock:
            for announcement, seconds in list(self._heard.items()):
                if seconds < oldest:
                    self._heard.pop(announcement)
            return list(self._heard)


def add_observed(fleet: Fleet, engines: list[EngineAnnouncement]) -> Fleet:
    """Return a fleet with the engines that its list lacks."""
    configuration = fleet.configuration
    if configuration is None:
        return fleet
    servers = dict(fleet.servers)
    listed = {server.endpoint for server in servers.values()}
    for engine in engines:
        service = configuration.services.get(engine.service)
        address, _, port = engine.endpoint.rpartition(':')
        unusable = service is None or service.engine is None
        if unusable or engine.endpoint in listed or not port.isdigit():
            continue
        servers[engine.endpoint] = BackendServer(
            # Its id is not known, so requests cannot state whom they expect.
            server_id='',
            service=engine.service,
            address=address,
            port=int(port),
            data_centre=engine.data_centre,
            slot_count=service.engine.slot_count,  # type: ignore[union-attr]
            draining=False,
            cold_remaining_seconds=0,
            started_unix_ms=0,
        )
    return Fleet(configuration, servers, fleet.data_centres_out)
