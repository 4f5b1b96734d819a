"""Wiring of the choice of backend servers."""

from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.queueing.start_queues import StartQueue
from wasabistream.route_queries.scheduling_explainers import (
    SchedulingExplainer,
)
from wasabistream.scheduling.interfaces import RemoteLosses
from wasabistream.scheduling.scheduled_services import ScheduledServices
from wasabistream.scheduling.scheduling_parts import SchedulingParts
from wasabistream.spillover.spillover_parts import Spillover


def build_chooser(
    fleet: FleetHolder,
    servers: ServerTrackers,
    scheduled_services: ScheduledServices,
    remote_losses: RemoteLosses,
    data_centre: str,
) -> ServerChooser:
    """Return the chooser of an entry."""
    return ServerChooser(
        fleet,
        servers.load,
        servers.failure_rates,
        servers.cold,
        servers.advisories,
        servers.paces,
        data_centre,
        scheduling=SchedulingParts(
            pace_source=servers.engine_paces,
            scheduled_services=scheduled_services,
            remote_losses=remote_losses,
        ),
    )


def build_scheduled_services(
    fleet: FleetHolder, servers: ServerTrackers
) -> ScheduledServices:
    """Return what decides which services are scheduled."""
    return ScheduledServices(fleet, servers.engine_paces)


def build_scheduling_explainer(
    scheduled_services: ScheduledServices,
    chooser: ServerChooser,
    start_queue: StartQueue,
    spillover: Spillover,
    servers: ServerTrackers,
) -> SchedulingExplainer:
    """Return what explains selections for scheduled services."""
    return SchedulingExplainer(
        scheduled_services.find_reason,
        chooser,
        start_queue,
        spillover.controller.find_plan,
        servers.engine_paces.age_seconds,
    )
