"""Entry: the process that callers reach."""

from cheroot.server import HTTPRequest

from wasabistream.forwarding.agent_links import AgentLinks
from wasabistream.forwarding.announced_engines import AnnouncedEngines
from wasabistream.forwarding.attempts import AttemptSender
from wasabistream.forwarding.budgets import RepeatBudgets
from wasabistream.forwarding.cold_limiters import ColdLimiter
from wasabistream.forwarding.drain_gates import DrainGate
from wasabistream.forwarding.failure_rates import FailureRates
from wasabistream.forwarding.fleet_updaters import FleetUpdater
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.forwarders import Forwarder
from wasabistream.forwarding.load_trackers import LoadTracker
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.forwarding.plain_forwarders import PlainForwarder
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.server_choosers import ServerChooser
from wasabistream.forwarding.stream_forwarders import StreamForwarder
from wasabistream.forwarding.supervisors import Supervisor
from wasabistream.listeners import LinkListener
from wasabistream.platform.ingress_servers import HttpCaller, IngressServer
from wasabistream.platform.node_applications import (
    NodeApplication,
    ProcessOptions,
)
from wasabistream.platform.node_files import NodeSettings
from wasabistream.platform.request_handlers import RequestHandler
from wasabistream.platform.server_clients import HttpServerClient
from wasabistream.platform.store_clients import StoreClient
from wasabistream.platform.store_decoders import FleetDecoder
from wasabistream.platform.store_followers import StoreFollower

# Each request in progress holds one thread.
THREAD_COUNT = 128
READY_THREAD_COUNT = 2
# The balancer asks each second and takes an entry out after two misses.
BALANCER_NOTICE_SECONDS = 2.5
# Peers and agents are heard at least once in this time.
ISOLATED_SECONDS = 3.0
READY_STATUS = 200
NOT_READY_STATUS = 503


class PlatformEntry(NodeApplication):
    """Wire the servers, the store and the decisions."""

    process_role = 'entry'

    def __init__(self, node: NodeSettings, process: ProcessOptions) -> None:
        super().__init__(node, process)
        self.fleet = FleetHolder()
        self.mirror = StoreMirror()
        self._load_tracker = LoadTracker()
        self._rates = FailureRates()
        moves = MoveTracker()
        self._agents = AgentLinks(
            self.hello, node.link_port, self._load_tracker, moves
        )
        announced = AnnouncedEngines()
        self._fleet_updater = FleetUpdater(
            self.fleet, FleetDecoder().decode, announced, self._is_store_lost
        )
        self.follower = StoreFollower(
            StoreClient(node.store),
            self.mirror,
            self._fleet_updater.refresh,
        )
        control = node.listen['control']
        self._peers = PeerLinks(
            self.hello,
            str(control),
            _endpoints(node),
            self.mirror,
            announced,
            self._is_store_lost,
            self._fleet_updater.refresh,
        )
        self._listener = LinkListener(
            control.address, control.port, self.hello, self._peers
        )
        self._cold = ColdLimiter(
            node.bounds.cold_limit, self._peers.entry_count
        )
        self._drain_gate = DrainGate(self._peers.is_majority_serving)
        self._supervisor = Supervisor(self._is_responsive)
        handler = RequestHandler(
            self.fleet, self._drain_gate, self._make_forwarder(moves)
        )
        front = node.listen['front']
        ready = node.listen['ready']
        self._front = IngressServer(
            front.address, front.port, handler.handle, THREAD_COUNT
        )
        self._ready = IngressServer(
            ready.address, ready.port, self._tell_ready, READY_THREAD_COUNT
        )

    @property
    def front_port(self) -> int:
        """Return the port for callers."""
        return self._front.port

    @property
    def ready_port(self) -> int:
        """Return the port for readiness."""
        return self._ready.port

    def on_start(self) -> None:
        """Follow the store and serve callers."""
        self._fleet_updater.subscribe(self._apply)
        self.mirror.subscribe(self._fleet_updater.apply_items)
        self._supervisor.start()
        self.follower.start()
        self._listener.start()
        self._peers.start()
        self._front.run_in_thread('front')
        self._ready.run_in_thread('ready')

    def on_drain(self) -> None:
        """Send callers whose requests would be cut to other entries."""
        self._peers.draining = True
        self._peers.send_notice_now()
        self._drain_gate.close(self.settings.drain_limit_seconds)

    def on_reload(self, node: NodeSettings) -> None:
        """Look for the other entries at new seeds."""
        self._peers.replace_seeds(_endpoints(node))

    def on_stop(self) -> None:
        """Close the servers and the links."""
        self.follower.stop()
        self._listener.stop()
        self._peers.stop()
        self._front.stop()
        self._ready.stop()
        self._supervisor.stop()
        self._agents.stop()

    def drain_notice_seconds(self) -> float:
        """Return how long the balancer may still send connections."""
        return BALANCER_NOTICE_SECONDS

    def work_in_progress(self) -> list[str]:
        """Return the ids of requests whose callers still wait."""
        return self._supervisor.request_ids()

    def _make_forwarder(self, moves: MoveTracker) -> Forwarder:
        chooser = ServerChooser(
            self.fleet,
            self._load_tracker,
            self._rates,
            self._cold,
            self.node_settings.data_centre,
        )
        client = HttpServerClient()
        poison_guard = PoisonRequestGuard(client, self._peers.broadcast)
        self._peers.subscribe_crashes(poison_guard.on_crash_notice)
        sender = AttemptSender(
            client,
            self._load_tracker,
            self._rates,
            RepeatBudgets(
                self.node_settings.bounds.repeat_limit, self._peers.entry_count
            ),
            self._cold,
        )
        return Forwarder(
            self._supervisor,
            PlainForwarder(chooser, sender, self._rates, poison_guard),
            StreamForwarder(
                self.fleet, chooser, sender, self._rates, moves, poison_guard
            ),
            poison_guard,
        )

    def _tell_ready(self, request: HTTPRequest, body: bytes) -> None:
        known = self.fleet.current.configuration is not None
        ready = known and not self.draining and not self._is_isolated()
        status = READY_STATUS if ready else NOT_READY_STATUS
        HttpCaller(request, '').reply(Reply(status))

    def _apply(self, fleet: Fleet) -> None:
        configuration = fleet.configuration
        if configuration is not None:
            limits = configuration.limits
            self._front.set_limits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.idle_timeout_seconds,
            )
        endpoints = frozenset(
            server.endpoint for server in fleet.servers.values()
        )
        self._load_tracker.keep_only(endpoints)
        self._rates.keep_only(endpoints)
        self._cold.on_fleet_changed(fleet)
        self._agents.on_fleet_changed(fleet)
        self._peers.send_notice_now()

    def _is_store_lost(self) -> bool:
        return self.follower.lost_since_seconds is not None

    def _is_isolated(self) -> bool:
        """Tell whether neither the store nor any peer or agent is heard."""
        return (
            self.follower.away_seconds > ISOLATED_SECONDS
            and self._peers.entry_count() == 1
            and not self._load_tracker.has_fresh_reports()
        )

    def _is_responsive(self, endpoint: str) -> bool:
        return self._load_tracker.estimate(endpoint).responsive


def _endpoints(node: NodeSettings) -> list[str]:
    return [str(seed) for seed in node.seeds]
