"""Entry daemon: takes requests from callers and sends them to agents."""

import itertools
import logging
import math
import os
import secrets
import time
from collections.abc import Sequence

from wasabistream.agent_link_managers import AgentLinkManager
from wasabistream.applications import Application
from wasabistream.attempts import AttemptTable
from wasabistream.backends import BackendDirectory
from wasabistream.callers import CallerHandler, draining_answer
from wasabistream.configuration_notices import DocumentPatch, VmListFetch
from wasabistream.configurations import ConfigurationStore
from wasabistream.crash_notices import CrashMessage
from wasabistream.dialers import PeerDialer
from wasabistream.dispatchers import Dispatcher
from wasabistream.distributors import ConfigurationDistributor
from wasabistream.documents import DocumentVersion
from wasabistream.entry_quarantines import EntryQuarantine
from wasabistream.hangups import HangupWatcher
from wasabistream.http_servers import (
    ApiServer,
    HttpAnswer,
    HttpRequest,
    TakeSocket,
)
from wasabistream.links import Link
from wasabistream.messages import (
    PROTOCOL_VERSION_MAX,
    PROTOCOL_VERSION_MIN,
    Message,
)
from wasabistream.notices import (
    CacheReport,
    DocumentBody,
    DocumentDigest,
    DocumentFetch,
    Hello,
    LoadReport,
    ServingReport,
)
from wasabistream.operator_pages import OperatorPages
from wasabistream.owner_call_senders import OwnerCallSender
from wasabistream.peer_monitors import PeerMonitor
from wasabistream.route_queries.operator_keys import OPERATOR_KEY_VARIABLE
from wasabistream.route_queries.router_pages import RouterPage
from wasabistream.routers import Router
from wasabistream.service_calls import entry_refusal_outcome
from wasabistream.service_views import ServiceView, build_service_view
from wasabistream.settings import EntrySettings
from wasabistream.signals import document_changed
from wasabistream.vms import Vm, VmList

logger = logging.getLogger(__name__)

# Time in which callers get the answers of requests that are cut.
LAST_ANSWERS_SECONDS = 1.0


class EntryApplication(Application):
    """Build, start and stop the components of an entry.

    It passes on the events of the links to agents.
    """

    process_role = 'entry'

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings)
        self._entry_settings = settings
        # Random id of this run of the process.
        self.incarnation = secrets.token_hex(4)
        self.configuration = ConfigurationStore(confirmed=False)
        # Reads document and VM list and relays them to entries and agents.
        self.distributor = ConfigurationDistributor(
            settings, self._build_hello(), self.configuration
        )
        self.distributor.lists.subscribe(self._on_vm_list)
        self.directory = BackendDirectory()
        self.attempts = AttemptTable()
        self.vm_list: VmList | None = None
        self._request_counter = itertools.count(1)
        self._refuse_from_monotonic_seconds = 0.0
        # Monotonic time at which a drain ends.
        self._end_seconds = math.inf
        self.peer_monitor = PeerMonitor()
        self.link_manager = AgentLinkManager(
            settings.process_id,
            settings.data_centre,
            self.directory,
            self.peer_monitor,
            self._make_dialer,
        )
        self._hangups = HangupWatcher()
        # Keeps requests whose content crashed engines away from other engines.
        self._request_quarantine = EntryQuarantine(
            lambda: [view.link for view in self.directory.views() if view.link]
        )
        router = Router(settings.routing_policy)
        self._dispatcher = Dispatcher(
            router,
            self.directory,
            self.attempts,
            self._make_request_id,
            self._build_hello,
            self.link_manager.link_remote_agents,
            self._request_quarantine,
        )
        self._callers = CallerHandler(
            settings,
            self.configuration,
            self.directory,
            self.attempts,
            self._dispatcher,
            OwnerCallSender(
                self.directory,
                self.attempts,
                self._make_request_id,
                self.service_view,
            ),
            self._hangups,
            lambda: self._end_seconds - time.monotonic(),
        )
        route_page = RouterPage(
            settings.process_id,
            settings.data_centre,
            settings.routing_policy,
            router,
            self.directory.views,
            os.environ.get(OPERATOR_KEY_VARIABLE, ''),
        )
        self._pages = OperatorPages(self._build_readiness, route_page.answer)
        self.server = ApiServer(
            settings.address,
            settings.http_port,
            self._handle_request,
            settings.worker_thread_count,
        )
        self.server.refusal_outcome = entry_refusal_outcome
        self.server.max_request_body_size = settings.max_body_bytes
        self.server.max_request_header_size = settings.max_header_bytes

    def on_start(self) -> None:
        """Start following the configuration and serving callers."""
        self._hangups.start()
        document_changed.connect(self._on_document_changed, self.configuration)
        self._dispatcher.start()
        self.link_manager.start()
        self.distributor.start()
        self.server.run_in_thread()

    def on_drain(self) -> None:
        """Set the time from which new requests are refused.

        Until then load balancers can see that the entry is not ready.
        """
        self._refuse_from_monotonic_seconds = (
            time.monotonic() + self.drain_notice_seconds()
        )
        self._end_seconds = time.monotonic() + self.remaining_drain_seconds()

    def drain_notice_seconds(self) -> float:
        """Return how long requests are still taken after the drain began."""
        return self._entry_settings.drain_notice_seconds

    def on_close(self) -> None:
        """Close the port for callers and their idle connections."""
        remaining_seconds = max(self._end_seconds - time.monotonic(), 0)
        self.server.begin_stop(remaining_seconds + LAST_ANSWERS_SECONDS)

    def on_cut(self) -> None:
        """Answer the requests in progress, also those not read completely."""
        self.server.end_arrivals()
        self.attempts.close()

    def last_answers_seconds(self) -> float:
        """Return the time for the answers of requests that are cut."""
        return LAST_ANSWERS_SECONDS

    def on_stop(self) -> None:
        """Stop the HTTP server and close the links."""
        self.distributor.stop()
        self.server.end_stop()
        self._hangups.stop()
        self._dispatcher.stop()
        self.link_manager.stop()

    def work_in_progress(self) -> list[str]:
        """Return the requests from their arrival until they are answered.

        One that has no id yet is named by the address of its caller.
        """
        # In the order in which a request passes them, so that none is missed.
        names = [
            *self.server.open_requests(),
            *self._hangups.open_stream_names(),
            *self._dispatcher.requests_in_progress(),
        ]
        return list(dict.fromkeys(names))

    def service_view(self, service: str) -> ServiceView | None:
        """Return which VMs serve a plain service and own its keys.

        Returns None before the first VM list and document.
        """
        version = self.configuration.version
        vm_list = self.vm_list
        if version is None or vm_list is None:
            return None
        return build_service_view(vm_list, version.document, service)

    @property
    def ready(self) -> bool:
        """Tell whether the entry can serve callers."""
        return not self.draining and self.configuration.version is not None

    def on_opened(self, link: Link) -> None:
        """Record a link to an agent and tell it which document is in force."""
        self.directory.on_link_opened(link)
        self.peer_monitor.on_link_opened(
            link.peer.peer_id, link.peer.incarnation
        )
        self.distributor.on_agent_link_opened(link)

    def on_closed(self, link: Link, reason: str) -> None:
        """End the attempts of a link that ended, and forget the link."""
        self.distributor.on_agent_link_closed(link)
        self.directory.on_link_closed(link)
        self.peer_monitor.on_link_closed(link.peer.peer_id, reason)
        self.attempts.on_link_closed(link, reason)
        logger.info('entry: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Pass the messages of an agent to the components that handle them."""
        for message in received:
            match message:
                case LoadReport() | ServingReport() | CacheReport():
                    self.directory.report(link, message)
                case CrashMessage():
                    self._request_quarantine.on_crash_notice(link, message)
                case DocumentDigest() | DocumentFetch() | VmListFetch():
                    self.distributor.on_agent_message(link, message)
                case DocumentBody() | DocumentPatch():
                    self.distributor.on_agent_message(link, message)
            if isinstance(message, LoadReport):
                self.peer_monitor.report(link.peer.peer_id, message)
        self.attempts.deliver(link, received)

    def _handle_request(
        self, request: HttpRequest, take_socket: TakeSocket
    ) -> HttpAnswer | None:
        page = self._pages.answer(request)
        if page is not None:
            return page
        if (
            self.draining
            and time.monotonic() > self._refuse_from_monotonic_seconds
        ):
            return draining_answer(request)
        # None if the handler has taken over the socket.
        return self._callers.handle(request, take_socket)

    def _build_readiness(self) -> dict[str, object]:
        return {
            'process_id': self.settings.process_id,
            'role': self.process_role,
            'ready': self.ready,
            'draining': self.draining,
            **self.distributor.readiness(),
            'backend_count': sum(
                view.usable for view in self.directory.views()
            ),
        }

    def _on_vm_list(self, vm_list: VmList) -> None:
        self.vm_list = vm_list
        self.link_manager.apply_list(vm_list)

    def _on_document_changed(
        self, sender: object, version: DocumentVersion, **_: object
    ) -> None:
        self.link_manager.apply_document(version.document)

    def _make_dialer(self, vm: Vm) -> PeerDialer:
        return PeerDialer(
            vm.address, vm.link_port, self._build_hello(), self, vm.id
        )

    def _build_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION_MIN,
            PROTOCOL_VERSION_MAX,
            'entry',
            self.settings.process_id,
            self.incarnation,
            self.settings.data_centre,
        )

    def _make_request_id(self) -> str:
        number = next(self._request_counter)
        return f'{self.settings.process_id}.{self.incarnation}.{number}'
