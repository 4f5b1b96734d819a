"""Wiring of the start queue of an entry."""

from collections.abc import Callable, Mapping

from wasabistream.forwarding.agent_links import AgentLinks
from wasabistream.forwarding.fleets import FleetHolder
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.queueing.interfaces import OutlookSource
from wasabistream.queueing.start_fleets import EntryStartFleet
from wasabistream.queueing.start_queues import StartQueue


def build_start_queue(
    fleet: FleetHolder,
    chooser: OutlookSource,
    servers: ServerTrackers,
    count_entries: Callable[[], int],
    count_running_tokens: Callable[[], Mapping[str, int]],
    agent_links: AgentLinks,
) -> StartQueue:
    """Return a queue that load reports wake."""
    start_fleet = EntryStartFleet(
        fleet, chooser, servers, count_entries, count_running_tokens
    )
    queue = StartQueue(start_fleet)
    agent_links.on_load_report = queue.on_load_report
    return queue
