"""Engines that their agents announce directly to the entries."""

import logging
from dataclasses import dataclass

from wasabistream.forwarding.backend_servers import build_unlisted_server
from wasabistream.forwarding.endpoints import parse_endpoint
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.liveness_trackers import LivenessTracker
from wasabistream.messages import Message, message

logger = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_SECONDS = 1.0


@message(88)
@dataclass(frozen=True, slots=True)
class EngineAnnouncement(Message):
    """Announce to an entry that the sender's engine serves requests."""

    endpoint: str
    service: str
    data_centre: str


class AnnouncedEngines(LivenessTracker[EngineAnnouncement]):
    """Track the engines that were announced recently.

    The store's list takes precedence. Engines that start while the store is
    unavailable are known only from the announcements of their agents.
    """


def add_announced(fleet: Fleet, engines: list[EngineAnnouncement]) -> Fleet:
    """Return a copy of the fleet that includes unlisted engines."""
    servers = dict(fleet.servers)
    listed = {server.endpoint for server in servers.values()}
    for engine in engines:
        service = fleet.find_service(engine.service)
        unusable = service is None or service.engine is None
        if unusable or engine.endpoint in listed:
            continue
        try:
            endpoint = parse_endpoint(engine.endpoint)
        except ValueError as error:
            logger.debug('fleet: announcement is malformed: %s', error)
            continue
        servers[engine.endpoint] = build_unlisted_server(
            endpoint,
            engine.service,
            engine.data_centre,
            service.engine.slot_count,  # type: ignore[union-attr]
        )
    return Fleet(fleet.configuration, servers, fleet.data_centres_out)
