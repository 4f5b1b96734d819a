"""Wiring of what decides on requests to other data centres."""

import os
from collections.abc import Callable

from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.forwarding.request_observers import RequestObserver
from wasabistream.forwarding.requests import ForwardRequest
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.notices import Hello
from wasabistream.spillover.capacity_views import CapacityView
from wasabistream.spillover.remote_losses import RemoteCosts, SpilloverLosses
from wasabistream.spillover.remote_settings import read_remote_costs
from wasabistream.spillover.spillover_controllers import SpilloverController
from wasabistream.spillover.spillover_messages import (
    DataCentreDemand,
    DemandNotice,
)


class Spillover(RequestObserver):
    """Hold the controller and the losses of one entry."""

    def __init__(
        self,
        entry: Hello,
        peer_links: PeerLinks,
        fleet: FleetHolder,
        servers: ServerTrackers,
        costs: RemoteCosts,
        is_scheduled: Callable[[str], bool],
    ) -> None:
        self.controller = SpilloverController(
            entry,
            peer_links,
            CapacityView(
                fleet, servers.load, servers.engine_paces, servers.cold.is_cold
            ),
            is_scheduled,
        )
        self.losses = SpilloverLosses(
            entry.data_centre, costs, self.controller.find_plan
        )
        board = self.controller.board
        peer_links.subscriptions.add_with_sender(DemandNotice, board.on_notice)
        peer_links.subscriptions.add_with_sender(
            DataCentreDemand, board.on_report
        )

    def on_arrival(self, request: ForwardRequest) -> None:
        """Count a generation as demand."""
        self.controller.record_arrival(request)

    def on_complete_stream(
        self, request: ForwardRequest, byte_count: int
    ) -> None:
        """Learn the bytes of an answer."""
        self.losses.record_answer(request, byte_count)


def build_spillover(
    entry: Hello,
    peer_links: PeerLinks,
    fleet: FleetHolder,
    servers: ServerTrackers,
    is_scheduled: Callable[[str], bool],
) -> Spillover:
    """Return the parts with the costs of the environment.

    Raises SettingsError.
    """
    return Spillover(
        entry,
        peer_links,
        fleet,
        servers,
        read_remote_costs(os.environ),
        is_scheduled,
    )
