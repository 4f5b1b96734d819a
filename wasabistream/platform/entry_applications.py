"""Entry daemon, to which callers send their requests."""

import time

from cheroot.server import HTTPRequest

from wasabistream.crash_notices import CrashMessage
from wasabistream.forwarding.agent_links import AgentLinks
from wasabistream.forwarding.announced_engines import AnnouncedEngines
from wasabistream.forwarding.answer_buffers import build_answer_buffers
from wasabistream.forwarding.attempts import AttemptSender
from wasabistream.forwarding.budgets import RepeatBudgets
from wasabistream.forwarding.drain_gates import DrainGate
from wasabistream.forwarding.fleet_updaters import FleetUpdater
from wasabistream.forwarding.fleets import Fleet, FleetHolder
from wasabistream.forwarding.forwarders import Forwarder
from wasabistream.forwarding.mirrors import StoreMirror
from wasabistream.forwarding.move_trackers import MoveTracker
from wasabistream.forwarding.peer_links import PeerLinks
from wasabistream.forwarding.poison_request_guards import PoisonRequestGuard
from wasabistream.forwarding.refusals import Refuser
from wasabistream.forwarding.requests import ForwardRequest, Reply
from wasabistream.forwarding.server_trackers import ServerTrackers
from wasabistream.forwarding.supervisors import RequestSupervisor
from wasabistream.listeners import LinkListener
from wasabistream.memory_budgets import MemoryBudget
from wasabistream.platform.chooser_builders import (
    build_chooser,
    build_scheduled_services,
    build_scheduling_explainer,
)
from wasabistream.platform.forwarder_builders import ForwarderBuilder
from wasabistream.platform.ingress_servers import HttpCaller, IngressServer
from wasabistream.platform.metrics_servers import (
    MetricsServer,
    SelectionParts,
    build_metrics_server,
)
from wasabistream.platform.node_applications import (
    NodeApplication,
    ProcessOptions,
)
from wasabistream.platform.node_files import NodeSettings
from wasabistream.platform.request_handlers import RequestHandler
from wasabistream.platform.server_clients import HttpServerClient
from wasabistream.platform.store_decoders import FleetDecoder
from wasabistream.platform.store_parts import build_store_parts
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.queueing.entry_queues import build_start_queue
from wasabistream.spillover.spillover_parts import build_spillover

# Maximum number of requests in progress; each occupies a thread.
REQUEST_THREAD_COUNT = 128
READINESS_THREAD_COUNT = 2
# The load balancer probes readiness each second and stops sending connections
# to an entry after two failed probes.
BALANCER_REMOVAL_SECONDS = 2.5
# An entry may count as isolated once the store has been unreachable for this
# long. Peers and agents send at least one message in this time.
ISOLATION_TIMEOUT_SECONDS = 3.0
# Time for a probe in progress when the readiness server stops.
READINESS_STOP_SECONDS = 0.1
READY_STATUS = 200
NOT_READY_STATUS = 503


class PlatformEntry(NodeApplication):
    """Wire the HTTP servers, the links, the store and the forwarding.

    `settings.drain_limit_seconds` comes from the settings file. The setting
    `drain_notice_seconds` does not apply here.
    """

    process_role = 'entry'

    def __init__(
        self, node_settings: NodeSettings, process: ProcessOptions
    ) -> None:
        super().__init__(node_settings, process)
        self.fleet = FleetHolder()
        self.mirror = StoreMirror()
        self.poison_parts = PoisonPartDetector()
        move_tracker = MoveTracker()
        announced_engines = AnnouncedEngines()
        self._fleet_updater = FleetUpdater(
            self.fleet,
            FleetDecoder().decode,
            announced_engines,
            self._is_store_lost,
        )
        control = node_settings.listen['control']
        self._peer_links = PeerLinks(
            self.hello,
            str(control),
            _seed_endpoints(node_settings),
            self.mirror,
            announced_engines,
            self._is_store_lost,
            self._fleet_updater.refresh,
            node_settings.bounds.apply_seconds,
        )
        self._peer_links.relays.own_link_mbps = node_settings.link_mbps
        self._servers = ServerTrackers(
            self._peer_links,
            node_settings.bounds.cold_limit,
            node_settings.bounds.reuse_seconds,
        )
        self._scheduled_services = build_scheduled_services(
            self.fleet, self._servers
        )
        # Also checks its settings, before any socket is open.
        self._spillover = build_spillover(
            self.hello,
            self._peer_links,
            self.fleet,
            self._servers,
            self._scheduled_services.is_scheduled,
        )
        # Agents accept links at the link port; this entry accepts them at its
        # control address.
        self._agent_links = AgentLinks(
            self.hello,
            node_settings.link_port,
            self._servers.load,
            move_tracker,
            self._servers.advisories,
            self._servers.engine_paces,
            self._spillover.controller.full_data_centres,
        )
        self._store_parts = build_store_parts(
            node_settings, self.mirror, self._peer_links, self._fleet_updater
        )
        self.follower = self._store_parts.follower
        starts = self._agent_links.starts
        self._fleet_updater.correct = starts.apply
        starts.on_change = self._store_parts.applier.put_refresh
        self._listener = LinkListener(
            control.address, control.port, self.hello, self._peer_links
        )
        self._drain_gate = DrainGate(self._peer_links.is_majority_serving)
        self._request_supervisor = RequestSupervisor(
            self._is_responsive,
            move_tracker.has_moved,
            self._must_end,
            self._agent_links.report_silent_run,
        )
        self._agent_links.record_announced_stop = (
            self._request_supervisor.record_announced_stop
        )
        self._agent_links.record_sight = self._request_supervisor.record_sight
        self._memory = MemoryBudget(
            node_settings.memory_limit_bytes,
            REQUEST_THREAD_COUNT + READINESS_THREAD_COUNT,
        )
        self._build_chooser()
        handler = RequestHandler(
            self.fleet,
            self._drain_gate,
            self._build_forwarder(move_tracker),
            lambda: self.follower.answer_age_seconds,
        )
        front = node_settings.listen['front']
        ready = node_settings.listen['ready']
        self._front_server = IngressServer(
            front.address,
            front.port,
            handler.handle,
            REQUEST_THREAD_COUNT,
            self._memory,
        )
        self._readiness_server = IngressServer(
            ready.address,
            ready.port,
            self._answer_readiness_probe,
            READINESS_THREAD_COUNT,
            self._memory,
        )

    @property
    def front_port(self) -> int:
        """Return the port for callers."""
        return self._front_server.port

    @property
    def ready_port(self) -> int:
        """Return the port for readiness probes."""
        return self._readiness_server.port

    @property
    def live_entry_count(self) -> int:
        """Return the number of live entries, including this one."""
        return self._peer_links.entry_count()

    def on_start(self) -> None:
        """Follow the store and serve callers."""
        self._fleet_updater.subscribe(self._apply_fleet)
        self._request_supervisor.start()
        self._store_parts.start(self.mirror)
        self._listener.start()
        self._peer_links.start()
        self._agent_links.start()
        self._spillover.controller.start()
        self._front_server.run_in_thread('front')
        self._readiness_server.run_in_thread('ready')

    def on_drain(self) -> None:
        """Refuse requests that may not end in time, if others can serve."""
        self._peer_links.draining = True
        self._peer_links.send_peer_notice()
        remaining_seconds = self.remaining_drain_seconds()
        self._drain_gate.close(remaining_seconds)
        # Also if a step of the drain takes too long.
        self._request_supervisor.end_requests_at(
            time.monotonic() + remaining_seconds
        )
        self._start_queue.release_all()

    def on_reload(self, node_settings: NodeSettings) -> None:
        """Look for the other entries at the seeds of changed settings."""
        self._peer_links.replace_seeds(_seed_endpoints(node_settings))

    def on_close(self) -> None:
        """Close the port for callers and their idle connections."""
        self._front_server.begin_stop(self.stop_limit_seconds())

    def on_cut(self) -> None:
        """Answer the requests in progress, also those not read completely."""
        self._request_supervisor.end_requests_at(time.monotonic())
        # Requests that still wait for a thread are refused.
        self._drain_gate.end()
        self._front_server.end_arrivals()

    def on_stop(self) -> None:
        """Close the servers and the links."""
        self.stop_part('front server', self._front_server.end_stop)
        self.stop_part(
            'readiness server',
            lambda: self._readiness_server.stop_within(READINESS_STOP_SECONDS),
        )
        self.stop_part('start queue', self._start_queue.stop)
        self.stop_part('store', self._store_parts.stop)
        self.stop_part('spillover', self._spillover.controller.stop)
        self.stop_part('listener', self._listener.stop)
        self.stop_part('peer links', self._peer_links.stop)
        self.stop_part('supervisor', self._request_supervisor.stop)
        self.stop_part('agent links', self._agent_links.stop)

    def drain_notice_seconds(self) -> float:
        """Return how long the load balancer may send connections in a drain."""
        return BALANCER_REMOVAL_SECONDS

    def work_in_progress(self) -> list[str]:
        """Return the requests from their arrival until they are answered."""
        return self._front_server.open_requests()

    def start_metrics_server(self, address: str, port: int) -> None:
        """Serve the metrics and the explanations of selections."""
        self.build_metrics_server(address, port).start()

    def build_metrics_server(self, address: str, port: int) -> MetricsServer:
        """Return a server for the metrics and `/route`."""
        parts = SelectionParts(
            self.fleet,
            self._drain_gate,
            self.poison_parts,
            self._chooser,
            self._servers.advisories,
            build_scheduling_explainer(
                self._scheduled_services,
                self._chooser,
                self._start_queue,
                self._spillover,
                self._servers,
            ).explain,
        )
        return build_metrics_server(
            address,
            port,
            self.node_settings.process_id,
            parts,
            self._options.operator_key,
        )

    def _build_chooser(self) -> None:
        servers = self._servers
        self._chooser = build_chooser(
            self.fleet,
            servers,
            self._scheduled_services,
            self._spillover.losses,
            self.node_settings.data_centre,
        )
        self._start_queue = build_start_queue(
            self.fleet,
            self._chooser,
            servers,
            self._peer_links.entry_count,
            self._request_supervisor.running_tokens,
            self._agent_links,
        )

    def _build_forwarder(self, move_tracker: MoveTracker) -> Forwarder:
        servers = self._servers
        chooser = self._chooser
        refuser = Refuser(
            self.fleet, servers.advisories, chooser.start_wait_seconds
        )
        client = HttpServerClient()
        poison_guard = PoisonRequestGuard(
            client, self._peer_links.broadcast, self.poison_parts
        )
        self._peer_links.subscribe(
            CrashMessage, poison_guard.on_crash_notice, poison_guard.describe
        )
        sender = AttemptSender(
            client,
            servers.load,
            servers.failure_rates,
            RepeatBudgets(
                self.node_settings.bounds.repeat_limit,
                self._peer_links.entry_count,
            ),
            servers.cold,
            poison_guard,
            servers.advisories,
            servers.build_announcer(
                self._agent_links, self._scheduled_services.is_scheduled
            ),
        )
        builder = ForwarderBuilder(
            self.fleet,
            chooser,
            sender,
            servers.failure_rates,
            poison_guard,
            build_answer_buffers(
                self.node_settings.memory_limit_bytes, self._memory
            ),
            refuser,
            self._agent_links,
            move_tracker,
            client,
            lambda: not self._is_store_lost(),
        )
        return Forwarder(
            self._request_supervisor,
            builder.build_unary(),
            builder.build_streams(self._start_queue),
            poison_guard,
            self._spillover,
        )

    def _answer_readiness_probe(
        self, request: HTTPRequest, body: bytes
    ) -> None:
        has_configuration = self.fleet.current.configuration is not None
        ready = (
            has_configuration and not self.draining and not self._is_isolated()
        )
        status = READY_STATUS if ready else NOT_READY_STATUS
        # A probe has no request id.
        HttpCaller(request, '').reply(Reply(status))

    def _apply_fleet(self, fleet: Fleet) -> None:
        configuration = fleet.configuration
        if configuration is not None:
            self._front_server.set_limits(configuration.limits)
        self._servers.on_fleet_changed(fleet)
        self._agent_links.on_fleet_changed(fleet)
        self._peer_links.send_peer_notice()

    def _is_store_lost(self) -> bool:
        return self.follower.is_lost

    def _is_isolated(self) -> bool:
        """Return whether the store, all peers and all agents are silent."""
        return (
            self.follower.away_seconds > ISOLATION_TIMEOUT_SECONDS
            and self._peer_links.entry_count() == 1
            and not self._servers.load.has_fresh_reports()
        )

    def _must_end(self, request: ForwardRequest, at_seconds: float) -> bool:
        return self.poison_parts.is_certainly_banned_since(
            request.prompt_parts, at_seconds
        )

    def _is_responsive(self, endpoint: str) -> bool:
        return self._servers.load.estimate(endpoint).responsive


def _seed_endpoints(node_settings: NodeSettings) -> list[str]:
    return [str(seed) for seed in node_settings.seeds]
