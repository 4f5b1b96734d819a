"""Ownership of idempotency keys at the agent of a plain service."""

import logging
import time

from wasabistream.configurations import ConfigurationStore
from wasabistream.documents import Service
from wasabistream.exceptions import ConfigurationError
from wasabistream.grants import LeaseGranter, LeaseTimes
from wasabistream.key_checkers import OwnedKeyChecker
from wasabistream.keyed_calls import KeyedCallRunner
from wasabistream.lease_peers import LeasePeers
from wasabistream.leases import OwnerLease
from wasabistream.ledgers import CallLedger
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import Hello, VmListBody
from wasabistream.service_clients import ServiceClient
from wasabistream.service_views import build_service_view
from wasabistream.settings import AgentSettings
from wasabistream.signals import document_changed
from wasabistream.vms import VmList, parse_vm_list

logger = logging.getLogger(__name__)


class KeyOwnership:
    """Hold the lease, the ledger and the runner for the keys of an agent.

    The lease follows the VM list and the document.
    """

    def __init__(
        self,
        settings: AgentSettings,
        hello: Hello,
        configuration: ConfigurationStore,
    ) -> None:
        self._service_name = settings.service
        self._configuration = configuration
        self._vm_list: VmList | None = None
        self.granter = LeaseGranter(time.monotonic())
        self.lease = OwnerLease(hello.peer_id, hello.incarnation, self.granter)
        self.peers = LeasePeers(self.lease, hello)
        self.ledger = CallLedger(settings.ledger_bytes)
        self.runner = KeyedCallRunner(
            self.ledger,
            OwnedKeyChecker(self.lease, self.ledger, self._service),
            ServiceClient(settings.backend_url),
        )

    def start(self) -> None:
        """Start requesting lease grants if the agent has a plain service."""
        if self._service_name:
            document_changed.connect(
                self._on_document_changed, self._configuration
            )
            self.peers.start()

    def stop(self) -> None:
        """Stop requesting lease grants."""
        self.peers.stop()

    def handle(self, link: Link, message: Message) -> None:
        """Handle a VM list, or a lease message of a peer."""
        if isinstance(message, VmListBody):
            self._receive_list(link, message)
        else:
            self.peers.on_messages(link, (message,))

    def _receive_list(self, link: Link, message: VmListBody) -> None:
        current_list = self._vm_list
        if current_list is None or message.list_index > current_list.index:
            try:
                self._vm_list = parse_vm_list(message.body, message.list_index)
            except ConfigurationError as error:
                logger.error(
                    'agent: VM list of %s refused: %s', link.peer.peer_id, error
                )
                return
            self._update_view()
        self.granter.record_list_read(
            message.list_index, time.monotonic(), message.read_age_seconds
        )

    def _on_document_changed(self, sender: object, **_: object) -> None:
        self._update_view()

    def _update_view(self) -> None:
        version = self._configuration.version
        service = self._service()
        if version is None or service is None or self._vm_list is None:
            return
        self.granter.times = lease_times(service)
        self.peers.adopt_view(
            build_service_view(self._vm_list, version.document, service.name)
        )

    def _service(self) -> Service | None:
        version = self._configuration.version
        if version is None:
            return None
        return version.document.services_by_name.get(self._service_name)


def lease_times(service: Service) -> LeaseTimes:
    """Return the lease times of a service, raised to what safety needs."""
    times = LeaseTimes()
    # A granter that restarts grants nothing for the settling time, in which
    # the grants of its earlier incarnation must end.
    minimum = times.lease_seconds + 3 * times.grant_margin_seconds
    return LeaseTimes(
        settling_seconds=max(service.settling_seconds, minimum),
        max_list_age_seconds=service.list_hold_seconds,
    )
