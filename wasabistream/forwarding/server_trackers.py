"""What an entry tracks about backend servers, beyond their list."""

from collections.abc import Callable
from functools import partial

from wasabistream.forwarding.advisory_guards import AdvisoryGuard
from wasabistream.forwarding.advisory_messages import AdvisoryMessage
from wasabistream.forwarding.back_offs import BackOffs
from wasabistream.forwarding.cold_limiters import ColdLimit, ColdLimiter
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.first_event_paces import FirstEventPaces
from wasabistream.forwarding.fleets import Fleet
from wasabistream.forwarding.leaving_servers import LeavingServers
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.forwarding.rate_limits import RateLimits
from wasabistream.paces.pace_boards import PaceBoard
from wasabistream.scheduling.interfaces import PromptNotifier
from wasabistream.scheduling.prompt_announcers import PromptAnnouncer


class ServerTrackers:
    """Hold the load, failures, limits and statements of backend servers."""

    def __init__(
        self,
        peer_links: PeerLinks,
        cold_limit: ColdLimit,
        reuse_seconds: float,
    ) -> None:
        self.load = LoadTracker(reuse_seconds=reuse_seconds)
        self.failure_rates = FailureRates()
        self.paces = FirstEventPaces()
        self.engine_paces = PaceBoard()
        self.cold = ColdLimiter(cold_limit, peer_links.entry_count)
        self.advisories = AdvisoryGuard(
            RateLimits(
                peer_links.shares,
                partial(peer_links.broadcast, once_per_peer=True),
            ),
            LeavingServers(),
            BackOffs(),
        )
        peer_links.subscribe(
            AdvisoryMessage,
            self.advisories.on_message,
            self.advisories.describe,
        )

    def build_announcer(
        self, notifier: PromptNotifier, is_scheduled: Callable[[str], bool]
    ) -> PromptAnnouncer:
        """Return what announces the prompts of scheduled services."""
        return PromptAnnouncer(notifier, is_scheduled)

    def on_fleet_changed(self, fleet: Fleet) -> None:
        """Forget servers that are no longer listed."""
        endpoints = frozenset(
            server.endpoint for server in fleet.servers.values()
        )
        self.load.keep_only(endpoints)
        self.failure_rates.keep_only(endpoints)
        self.engine_paces.keep_only(fleet.servers.values())
        self.cold.on_fleet_changed(fleet)
        self.advisories.on_fleet_changed(fleet)
