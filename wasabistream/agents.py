"""Agent: the one gate in front of one backend server."""

import logging
import secrets
import threading
from collections.abc import Sequence

from wasabistream.applications import Application
from wasabistream.cache_reporters import CacheReporter
from wasabistream.call_owners import CallOwner
from wasabistream.calls import CallRunner
from wasabistream.configuration_notices import VmListDigest
from wasabistream.configurations import ConfigurationStore
from wasabistream.crash_notices import ClearNotice, CrashNotice
from wasabistream.crashes import CrashDetector
from wasabistream.document_relays import DocumentRelay, send_to
from wasabistream.engines import EngineState, make_engine_client
from wasabistream.exceptions import (
    BackendError,
    ConfigurationError,
    LinkError,
    RefusedError,
)
from wasabistream.gate_builders import build_gate
from wasabistream.gates import Gate
from wasabistream.generations import GenerationRunner
from wasabistream.links import Link
from wasabistream.listeners import LinkListener, finish_links
from wasabistream.load_reporters import LoadReporter
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.notices import (
    Hello,
    LoadReport,
    Serving,
    VmListBody,
)
from wasabistream.outcomes import Outcome
from wasabistream.pages import OperatorPages
from wasabistream.part_clients import PartClient
from wasabistream.quarantines import Quarantine
from wasabistream.requests import (
    Call,
    Cancel,
    Generate,
    Refused,
    Resume,
    Withdraw,
)
from wasabistream.servers import CallerServer
from wasabistream.settings import AgentSettings
from wasabistream.signals import document_changed
from wasabistream.vms import parse_vm_list

logger = logging.getLogger(__name__)

STATE_RETRY_SECONDS = 0.2
FETCH_TICK_SECONDS = 0.1


class AgentApplication(Application):
    """Wire links, gate and backend server."""

    part = 'agent'

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.agent_settings = settings
        self.incarnation = secrets.token_hex(4)
        self.configuration = ConfigurationStore()
        self.relay = DocumentRelay(
            settings.process_id, self.configuration, announces=False
        )
        self.vm_part = PartClient(settings.process_id)
        # The VM list shows the VM of this agent as leaving.
        self._listed_leaving = False
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
        self.owner = CallOwner(settings, self._hello(), self.configuration)
        self.calls = CallRunner(
            settings.backend_url,
            settings.service_concurrency_count,
            self.owner.runner,
        )
        self._state: EngineState | None = None
        self._pages = OperatorPages(self._status)
        self.server: CallerServer | None = None
        self.reporter = LoadReporter(self._load_report)
        self.caches = CacheReporter(self._engine, self._broadcast)
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
        self.listener.start()
        self.owner.start()
        document_changed.connect(self._announce_serving, self.configuration)
        for step in (self._report, self._fetch):
            threading.Thread(
                target=step, name=step.__name__, daemon=True
            ).start()

    def on_drain(self) -> None:
        """Refuse new work and tell all entries."""
        self.reporter.send()

    def on_stop(self) -> None:
        """Close the links once their last frames have been sent."""
        self._stopped.set()
        if self.server is not None:
            self.server.stop()
        self.caches.stop()
        self.listener.stop()
        self.calls.stop()
        self.owner.stop()
        finish_links(list(self._links))

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
        self.reporter.opened(link)
        if self.caches.current.prefixes:
            link.send(self.caches.current)
        self.relay.opened(link)

    def on_closed(self, link: Link, reason: str) -> None:
        """Detach the streams of a link that ended."""
        self._links.discard(link)
        self.reporter.closed(link)
        self.relay.closed(link)
        self.vm_part.closed(link)
        self.generations.link_closed(link)
        logger.info('agent: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle the messages of an entry."""
        for message in received:
            try:
                self._handle(link, message)
            except LinkError as error:
                logger.info('agent: reply lost: %s', error)

    def _handle(self, link: Link, message: Message) -> None:
        if isinstance(message, (CrashNotice, ClearNotice)):
            self._crashes.learn(message)
        match message:
            case Generate():
                if self._admits(link, message.request_id):
                    self.generations.generate(link, message)
                self.reporter.took(link)
            case Call():
                self.calls.call(link, message, self._refusal())
                self.reporter.took(link)
            case Cancel():
                self.generations.cancel(link, message)
            case Withdraw():
                self.generations.withdraw(link, message)
            case Resume():
                self.generations.resume(link, message)
            case VmListDigest() | VmListBody():
                part = self.vm_part.handle(link, message)
                if part is not None:
                    self._note_list_state(part)
                    self.owner.handle(link, part)
            case _:
                self.relay.handle(link, message)
                self.owner.handle(link, message)

    def _note_list_state(self, part: VmListBody) -> None:
        try:
            vm_list = parse_vm_list(part.body, part.list_index)
        except ConfigurationError as error:
            logger.error('agent: VM list refused: %s', error)
            return
        leaving = vm_list.is_leaving(self.settings.process_id)
        if leaving != self._listed_leaving:
            self._listed_leaving = leaving
            self.reporter.send()

    def _refusal(self) -> str:
        try:
            self._check_in_service()
        except RefusedError as refusal:
            return refusal.reason
        return ''

    def _admits(self, link: Link, request_id: str) -> bool:
        try:
            self._check_in_service()
        except RefusedError as refusal:
            link.send(Refused(request_id, Outcome.not_run, refusal.reason))
            return False
        return True

    def _check_in_service(self) -> None:
        if self.draining:
            raise RefusedError('draining', Outcome.not_run)
        if self._listed_leaving:
            raise RefusedError('leaving', Outcome.not_run)
        version = self.configuration.version
        if version is None:
            raise RefusedError('no_document', Outcome.not_run)
        document = version.document
        if not document.data_centre_in_service(self.settings.data_centre):
            raise RefusedError('data_centre_out', Outcome.not_run)
        if self.settings.process_id in document.backend_servers_out:
            raise RefusedError('backend_out', Outcome.not_run)

    def _status(self) -> dict[str, object]:
        version = self.configuration.version
        return {
            'process_id': self.settings.process_id,
            'role': self.part,
            'ready': version is not None and not self.draining,
            'draining': self.draining,
            'revision': version.document.revision if version else None,
            'digest': version.digest if version else None,
            'in_progress_count': len(self.work_in_progress()),
        }

    def _leaving(self) -> bool:
        try:
            self._check_in_service()
        except RefusedError as refusal:
            return refusal.reason != 'no_document'
        return False

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

    def _announce_serving(
        self, sender: object, previous: object, **_: object
    ) -> None:
        # A data centre taken out must be known before the next report.
        self.reporter.send()
        if previous is None:
            # Without a document the agent refuses all work.
            send_to(list(self._links), self._serving())

    def _serving(self) -> Serving:
        state = self._state
        ready = self.configuration.version is not None
        if state is None:
            return Serving(
                self.agent_settings.service, [], [], 'service', ready=ready
            )
        return Serving(
            '',
            list(state.models),
            list(state.adapters),
            state.role,
            ready=ready,
        )

    def _load_report(self) -> LoadReport:
        state = self._state
        if state is None:
            running = len(self.calls.calls_in_progress())
            limit = self.agent_settings.service_concurrency_count
            return LoadReport(
                running, limit, running, 0, limit, self._leaving()
            )
        gate = self.generations.gate
        return LoadReport(
            memory_used_tokens=gate.memory_used_tokens(),
            memory_capacity_tokens=state.memory_capacity_tokens,
            running_count=gate.running_count,
            queued_count=gate.queued_count,
            ramp_limit_count=gate.bearable_count,
            leaving=self._leaving(),
        )

    def _fetch(self) -> None:
        while not self._stopped.wait(FETCH_TICK_SECONDS):
            self.relay.fetcher.tick()
            self.vm_part.fetcher.tick()

    def _report(self) -> None:
        while not self._stopped.wait(self.settings.report_interval_seconds):
            self.reporter.send()

    def _broadcast(self, notice: Message) -> None:
        for link in list(self._links):
            try:
                link.send(notice)
            except LinkError as error:
                logger.debug('agent: notice lost: %s', error)
