"""Agent: the one gate in front of one backend server."""

import logging
import secrets
import threading
from collections.abc import Sequence

from wasabistream.agent_messages import AgentMessageHandler
from wasabistream.agent_reports import (
    build_engine_load_report,
    build_engine_serving,
    build_service_load_report,
    build_service_serving,
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
from wasabistream.pages import OperatorPages
from wasabistream.part_clients import PartClient
from wasabistream.placement_runners import PlacementRunner
from wasabistream.quarantines import Quarantine
from wasabistream.servers import CallerServer
from wasabistream.settings import AgentSettings
from wasabistream.signals import document_changed

logger = logging.getLogger(__name__)

STATE_RETRY_SECONDS = 0.2
FETCH_TICK_SECONDS = 0.1


class AgentApplication(Application):
    """Wire links, gate and backend server."""

    process_role = 'agent'

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.agent_settings = settings
        self.incarnation = secrets.token_hex(4)
        self.configuration = ConfigurationStore()
        self.relay = DocumentRelay(
            settings.process_id, self.configuration, announces=False
        )
        self.vm_part = PartClient(settings.process_id)
        self.availability = Availability(settings, self.configuration)
        self._links: set[Link] = set()
        self._stopped = threading.Event()
        self._engine = make_engine_client(
            settings.engine_kind, settings.backend_url
        )
        self._quarantine = Quarantine()
        self._crashes = CrashDetector(
            f'{settings.process_id}.{self.incarnation}',
            self._engine,
            self._quarantine,
            self._broadcast,
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
            settings, self._hello(), self.configuration
        )
        self.calls = CallRunner(
            settings.backend_url,
            settings.service_concurrency_count,
            self.key_ownership.runner,
        )
        self.retention_peers = ModelRetentionPeers(self._hello())
        self.placement = PlacementRunner(
            settings.process_id,
            self._engine,
            self.configuration,
            self.retention_peers,
        )
        self._state: EngineState | None = None
        self._pages = OperatorPages(self._status)
        self.server: CallerServer | None = None
        self.reporter = LoadReporter(self._load_report)
        self.caches = CacheReporter(self._engine, self._broadcast)
        self._messages = AgentMessageHandler(
            availability=self.availability,
            generations=self.generations,
            calls=self.calls,
            crashes=self._crashes,
            reporter=self.reporter,
            relay=self.relay,
            vm_part=self.vm_part,
            key_ownership=self.key_ownership,
            placement=self.placement,
            retention_peers=self.retention_peers,
            on_availability_changed=self._availability_changed,
        )
        self.listener = LinkListener(
            settings.address, settings.link_port, self._hello(), self
        )

    def on_start(self) -> None:
        """Wait for the engine, then accept links."""
        self.server = self._pages.serve(
            self.settings.address, self.settings.http_port
        )
        if self.agent_settings.backend_kind == 'engine':
            self.generations.start(self._make_gate(self._wait_engine()))
            self.caches.start()
            self.placement.on_state = self._renew_state
            self.placement.start()
        self.listener.start()
        self.key_ownership.start()
        document_changed.connect(self._announce_serving, self.configuration)
        for step in (self._report, self._fetch):
            threading.Thread(
                target=step, name=step.__name__, daemon=True
            ).start()

    def on_drain(self) -> None:
        """Refuse new work and tell all entries."""
        self.availability.draining = True
        self.reporter.send()

    def on_stop(self) -> None:
        """Close the links once their last frames have been sent."""
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
        """Return the ids of requests in progress."""
        return [
            *self.generations.jobs_in_progress(),
            *self.calls.calls_in_progress(),
        ]

    def on_opened(self, link: Link) -> None:
        """Tell a new peer what is served and how loaded it is."""
        self._links.add(link)
        serving = self._serving()
        link.send(serving)
        if self._serving() != serving:
            # The first document came into force meanwhile.
            link.send(self._serving())
        self.reporter.on_link_opened(link)
        if self.caches.current.prefixes:
            link.send(self.caches.current)
        self.relay.opened(link)

    def on_closed(self, link: Link, reason: str) -> None:
        """Detach the streams of a link that ended."""
        self._links.discard(link)
        self.reporter.on_link_closed(link)
        self.relay.closed(link)
        self.vm_part.closed(link)
        self.generations.link_closed(link)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle the messages of an entry."""
        for message in received:
            try:
                self._messages.handle(link, message)
            except LinkError as error:
                logger.info('agent: reply lost: %s', error)

    def _availability_changed(self) -> None:
        self.reporter.send()
        self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        # Work that waits at the gate is new work to the engine.
        reason = self.availability.removal()
        if reason and self._state is not None:
            self.generations.refuse_waiting(reason)

    def _status(self) -> dict[str, object]:
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

    def _hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            'agent',
            self.settings.process_id,
            self.incarnation,
            self.settings.data_centre,
        )

    def _wait_engine(self) -> EngineState:
        while not self._stopped.is_set():
            try:
                return self._engine.state()
            except BackendError as error:
                logger.info('agent: engine is not there yet: %s', error)
                self._stopped.wait(STATE_RETRY_SECONDS)
        raise BackendError('stopped before the engine came', 'start')

    def _make_gate(self, state: EngineState) -> Gate:
        self._state = state
        gate = build_gate(
            self.agent_settings,
            state.memory_capacity_tokens,
            self.generations.run,
        )
        self._crashes.start(gate, state.boot_id)
        return gate

    def _renew_state(self, state: EngineState) -> None:
        known = self._serving()
        self._state = state
        if self._serving() != known:
            send_to_all(list(self._links), self._serving())

    def _announce_serving(
        self, sender: object, previous: object, **_: object
    ) -> None:
        # A data centre taken out must be known before the next report.
        self._availability_changed()
        if previous is None:
            # Without a document the agent refuses all work.
            send_to_all(list(self._links), self._serving())

    def _serving(self) -> ServingReport:
        ready = self.configuration.version is not None
        if self._state is None:
            return build_service_serving(self.agent_settings.service, ready)
        return build_engine_serving(self._state, ready)

    def _load_report(self) -> LoadReport:
        leaving = self.availability.leaving
        if self._state is None:
            limit_count = self.agent_settings.service_concurrency_count
            return build_service_load_report(self.calls, limit_count, leaving)
        return build_engine_load_report(
            self.generations.gate, self._state, leaving
        )

    def _fetch(self) -> None:
        while not self._stopped.wait(FETCH_TICK_SECONDS):
            self.relay.fetcher.tick()
            self.vm_part.fetcher.tick()

    def _report(self) -> None:
        while not self._stopped.wait(self.settings.report_interval_seconds):
            self.reporter.send()
            # Catches a job that was queued while the removal came into force.
            self._refuse_waiting()

    def _broadcast(self, notice: Message) -> None:
        for link in list(self._links):
            send_or_log(link, notice, 'agent: notice', logging.DEBUG)
