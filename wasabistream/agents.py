"""Agent daemon: admits the work of one backend server."""

import logging
import secrets
import threading
from collections.abc import Sequence

from wasabistream.agent_messages import AgentMessageHandler
from wasabistream.agent_reports import (
    build_engine_load_report,
    build_engine_serving_report,
    build_service_load_report,
    build_service_serving_report,
)
from wasabistream.applications import Application
from wasabistream.availability import Availability
from wasabistream.cache_reporters import CacheReporter
from wasabistream.call_runners import CallRunner
from wasabistream.configurations import ConfigurationStore
from wasabistream.crashes import CrashDetector
from wasabistream.document_relays import DocumentRelay
from wasabistream.engines import EngineState, make_engine_client
from wasabistream.exceptions import BackendError, LinkError
from wasabistream.gate_builders import build_gate
from wasabistream.gates import Gate
from wasabistream.generations import GenerationRunner
from wasabistream.http_servers import ApiServer
from wasabistream.key_ownership import KeyOwnership
from wasabistream.link_senders import send_or_log, send_to_all
from wasabistream.links import Link
from wasabistream.listeners import LinkListener, close_links_gracefully
from wasabistream.load_reporters import LoadReporter
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.model_retention_peers import ModelRetentionPeers
from wasabistream.notices import (
    Hello,
    LoadReport,
    ServingReport,
)
from wasabistream.operator_pages import OperatorPages
from wasabistream.placement_runners import PlacementRunner
from wasabistream.poison_part_guards import PoisonPartGuard
from wasabistream.poison_parts import PoisonPartDetector
from wasabistream.quarantines import Quarantine
from wasabistream.settings import AgentSettings
from wasabistream.signals import document_changed
from wasabistream.vm_list_clients import VmListClient

logger = logging.getLogger(__name__)

# Pause between attempts to reach the engine at start.
STATE_RETRY_SECONDS = 0.2
FETCH_TICK_SECONDS = 0.1


class AgentApplication(Application):
    """Build, start and stop the components of an agent.

    It passes on the events of the links to entries and other agents.
    """

    process_role = 'agent'

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.agent_settings = settings
        # Random id of this run of the process.
        self.incarnation = secrets.token_hex(4)
        self.configuration = ConfigurationStore()
        self.relay = DocumentRelay(
            settings.process_id, self.configuration, announces_changes=False
        )
        self.vm_list_client = VmListClient(settings.process_id)
        self.availability = Availability(settings, self.configuration)
        self._links: set[Link] = set()
        self._stopped = threading.Event()
        self._engine = make_engine_client(
            settings.engine_kind, settings.backend_url
        )
        # Request contents that crashed engines.
        self._quarantine = Quarantine()
        self._crashes = CrashDetector(
            f'{settings.process_id}.{self.incarnation}',
            self._engine,
            self._quarantine,
            self._broadcast,
            PoisonPartGuard(self._broadcast, PoisonPartDetector()),
        )
        self.generations = GenerationRunner(
            settings.process_id,
            self.incarnation,
            self._engine,
            settings.stream_buffer_bytes,
            settings.orphan_limit_seconds,
            self._quarantine,
            self._crashes,
        )
        self.key_ownership = KeyOwnership(
            settings, self._build_hello(), self.configuration
        )
        self.calls = CallRunner(
            settings.backend_url,
            settings.service_concurrency_count,
            self.key_ownership.runner,
        )
        self.retention_peers = ModelRetentionPeers(self._build_hello())
        self.placement = PlacementRunner(
            settings.process_id,
            self._engine,
            self.configuration,
            self.retention_peers,
        )
        self._engine_state: EngineState | None = None
        self._pages = OperatorPages(self._build_status)
        self.server: ApiServer | None = None
        self.load_reporter = LoadReporter(self._build_load_report)
        self.caches = CacheReporter(self._engine, self._broadcast)
        self._messages = AgentMessageHandler(
            availability=self.availability,
            generations=self.generations,
            calls=self.calls,
            crashes=self._crashes,
            load_reporter=self.load_reporter,
            relay=self.relay,
            vm_list_client=self.vm_list_client,
            key_ownership=self.key_ownership,
            placement=self.placement,
            retention_peers=self.retention_peers,
            on_availability_changed=self._on_availability_changed,
        )
        self.listener = LinkListener(
            settings.address, settings.link_port, self._build_hello(), self
        )

    def on_start(self) -> None:
        """Wait until the engine responds, then accept links."""
        self.server = self._pages.serve(
            self.settings.address, self.settings.http_port
        )
        if self.agent_settings.backend_kind == 'engine':
            self.generations.start(self._make_gate(self._wait_for_engine()))
            self.caches.start()
            self.placement.on_engine_state = self._update_engine_state
            self.placement.start()
        self.listener.start()
        self.key_ownership.start()
        document_changed.connect(self._on_document_changed, self.configuration)
        for loop in (self._report, self._fetch):
            threading.Thread(
                target=loop, name=loop.__name__, daemon=True
            ).start()

    def on_drain(self) -> None:
        """Refuse new work and report to all entries that the agent leaves."""
        self.availability.draining = True
        self.load_reporter.send()

    def on_stop(self) -> None:
        """Stop all components; close links after their queued frames."""
        self._stopped.set()
        if self.server is not None:
            self.server.stop()
        self.caches.stop()
        self.listener.stop()
        self.calls.stop()
        self.key_ownership.stop()
        self.placement.stop()
        self.retention_peers.stop()
        close_links_gracefully(list(self._links))

    def work_in_progress(self) -> list[str]:
        """Return the ids of generations and calls in progress."""
        return [
            *self.generations.jobs_in_progress(),
            *self.calls.unanswered_calls(),
        ]

    def on_opened(self, link: Link) -> None:
        """Send a new peer what is served, the load and the cached prefixes."""
        self._links.add(link)
        serving = self._build_serving_report()
        link.send(serving)
        if self._build_serving_report() != serving:
            # The first document came into force in the meantime.
            link.send(self._build_serving_report())
        self.load_reporter.on_link_opened(link)
        if self.caches.current.prefixes:
            link.send(self.caches.current)
        for notice in self._crashes.describe():
            link.send(notice)
        self.relay.on_link_opened(link)

    def on_closed(self, link: Link, reason: str) -> None:
        """Detach the streams of a link that ended, and forget the link."""
        self._links.discard(link)
        self.load_reporter.on_link_closed(link)
        self.relay.on_link_closed(link)
        self.vm_list_client.on_link_closed(link)
        self.generations.on_link_closed(link)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle the messages of a peer."""
        for message in received:
            try:
                self._messages.handle(link, message)
            except LinkError as error:
                logger.info('agent: reply not sent: %s', error)

    def _on_availability_changed(self) -> None:
        self.load_reporter.send()
        self._refuse_queued()

    def _refuse_queued(self) -> None:
        # The engine has not seen queued work, so it is refused like new work.
        reason = self.availability.queued_refusal_reason()
        if reason and self._engine_state is not None:
            self.generations.refuse_queued(reason)

    def _build_status(self) -> dict[str, object]:
        version = self.configuration.version
        return {
            'process_id': self.settings.process_id,
            'role': self.process_role,
            'ready': version is not None and not self.draining,
            'draining': self.draining,
            'revision': version.document.revision if version else None,
            'digest': version.digest if version else None,
            'in_progress_count': len(self.work_in_progress()),
        }

    def _build_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            'agent',
            self.settings.process_id,
            self.incarnation,
            self.settings.data_centre,
        )

    def _wait_for_engine(self) -> EngineState:
        while not self._stopped.is_set():
            try:
                return self._engine.state()
            except BackendError as error:
                logger.info('agent: engine not reachable yet: %s', error)
                self._stopped.wait(STATE_RETRY_SECONDS)
        raise BackendError(
            'agent stopped before the engine was reachable', 'start'
        )

    def _make_gate(self, state: EngineState) -> Gate:
        self._engine_state = state
        gate = build_gate(
            self.agent_settings,
            state.memory_capacity_tokens,
            self.generations.run,
        )
        gate.limit_starts(state.max_requests_per_second)
        self._crashes.start(gate, state.boot_id)
        return gate

    def _update_engine_state(self, state: EngineState) -> None:
        previous_serving = self._build_serving_report()
        self._engine_state = state
        self.generations.gate.limit_starts(state.max_requests_per_second)
        if self._build_serving_report() != previous_serving:
            send_to_all(list(self._links), self._build_serving_report())

    def _on_document_changed(
        self, sender: object, previous: object, **_: object
    ) -> None:
        # Entries must know of a removal before the next periodic report.
        self._on_availability_changed()
        if previous is None:
            # Until the first document the agent reported that it is not ready.
            send_to_all(list(self._links), self._build_serving_report())

    def _build_serving_report(self) -> ServingReport:
        ready = self.configuration.version is not None
        if self._engine_state is None:
            return build_service_serving_report(
                self.agent_settings.service, ready
            )
        return build_engine_serving_report(self._engine_state, ready)

    def _build_load_report(self) -> LoadReport:
        leaving = self.availability.leaving
        if self._engine_state is None:
            limit_count = self.agent_settings.service_concurrency_count
            return build_service_load_report(self.calls, limit_count, leaving)
        return build_engine_load_report(
            self.generations.gate, self._engine_state, leaving
        )

    def _fetch(self) -> None:
        while not self._stopped.wait(FETCH_TICK_SECONDS):
            self.relay.fetcher.tick()
            self.vm_list_client.fetcher.tick()

    def _report(self) -> None:
        while not self._stopped.wait(self.settings.report_interval_seconds):
            self.load_reporter.send()
            # Refuses jobs that were queued while a removal came into force.
            self._refuse_queued()

    def _broadcast(self, notice: Message) -> None:
        for link in list(self._links):
            send_or_log(link, notice, 'agent: notice', logging.DEBUG)
