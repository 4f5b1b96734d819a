"""Wiring of the choice of backend servers."""

from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.scheduling.scheduled_services import ScheduledServices
from wasabistream.scheduling.scheduling_parts import SchedulingParts
from wasabistream.scheduling.unknown_sources import UnknownPaces


def build_chooser(
    fleet: FleetHolder, servers: ServerTrackers, data_centre: str
) -> ServerChooser:
    """Return the chooser of an entry."""
    pace_source = UnknownPaces()
    return ServerChooser(
        fleet,
        servers.load,
        servers.failure_rates,
        servers.cold,
        servers.advisories,
        servers.paces,
        data_centre,
        scheduling=SchedulingParts(
            pace_source=pace_source,
            scheduled_services=ScheduledServices(fleet, pace_source),
        ),
    )
