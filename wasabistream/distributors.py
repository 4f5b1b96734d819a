"""Distribution of document and VM list among entries and to agents."""

import logging
import threading
import time
from collections.abc import Sequence

from wasabistream.configuration_notices import ReaderStatus
from wasabistream.configuration_readers import ConfigurationReader
from wasabistream.configurations import ConfigurationStore
from wasabistream.document_relays import DocumentRelay
from wasabistream.entry_peers import EntryPeers
from wasabistream.link_senders import send_to_all
from wasabistream.links import Link
from wasabistream.listeners import LinkListener
from wasabistream.messages import Message
from wasabistream.notices import DocumentDigest, Hello
from wasabistream.settings import EntrySettings
from wasabistream.start_checks import StartCheck
from wasabistream.vm_list_relays import VmListRelay
from wasabistream.vm_list_stores import VmListStore
from wasabistream.vm_list_subset_relays import VmListSubsetRelay
from wasabistream.vms import Role

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
STATUS_INTERVAL_SECONDS = 2.0
ENTRY_ROLE = 'entry'


class ConfigurationDistributor:
    """Obtain document and VM list for this entry and relay them to its peers.

    It handles the links to other entries itself; the entry passes on the
    events of the links to agents.
    """

    def __init__(
        self,
        settings: EntrySettings,
        hello: Hello,
        documents: ConfigurationStore,
    ) -> None:
        self._settings = settings
        self._documents = documents
        self.lists = VmListStore()
        self.peers = EntryPeers(hello, self, settings.reader_count)
        self.listener = LinkListener(
            settings.address, settings.link_port, hello, self
        )
        self._document_relay = DocumentRelay(
            settings.process_id, documents, True
        )
        self._vm_list_relay = VmListRelay(settings.process_id, self.lists)
        self._subset_relay = VmListSubsetRelay(self.lists)
        self._reader = ConfigurationReader(
            settings, documents, self.lists, self.peers
        )
        self._start_check = StartCheck(
            documents, self._document_relay.fetcher.wanted_version
        )
        self._entry_links: set[Link] = set()
        self._next_status_seconds = 0.0
        self._stopped = threading.Event()
        self.lists.subscribe(self.peers.apply_list)

    def start(self) -> None:
        """Start the listener and the thread that reads and relays."""
        self.listener.start()
        threading.Thread(target=self._run, name='relay', daemon=True).start()

    def stop(self) -> None:
        """Stop listening, reading and relaying, and close all entry links."""
        self._stopped.set()
        self._reader.stop()
        self.listener.stop()
        self.peers.stop()
        for link in list(self._entry_links):
            link.close()

    def readiness(self) -> dict[str, object]:
        """Return the fields of the readiness report on the configuration."""
        version = self._documents.version
        refusal = self._documents.refusal
        return {
            'revision': version.document.revision if version else None,
            'digest': version.digest if version else None,
            'document_confirmed_by': self._start_check.confirmed_count,
            'document_refused': {
                'digest': refusal.digest,
                'cause': refusal.cause,
                'problems': refusal.problems,
            }
            if refusal
            else None,
            'older_read': self._documents.older_read,
            'reads_configuration': self._reader.read_age_seconds() >= 0,
            'vm_list_index': self.lists.latest_version_id[0],
        }

    def on_agent_link_opened(self, link: Link) -> None:
        """Announce document and VM list to an agent."""
        self._document_relay.on_link_opened(link)
        self._subset_relay.on_link_opened(link)

    def on_agent_link_closed(self, link: Link) -> None:
        """Forget a link to an agent."""
        self._document_relay.on_link_closed(link)
        self._subset_relay.on_link_closed(link)

    def on_agent_message(self, link: Link, message: Message) -> None:
        """Handle a message of an agent; messages of other types are ignored."""
        self._handle_document(link, message)
        self._subset_relay.handle(link, message)

    def on_opened(self, link: Link) -> None:
        """Announce document and VM list to another entry."""
        if link.peer.role != ENTRY_ROLE:
            logger.warning(
                'entry: %s is not an entry; its link is closed',
                link.peer.peer_id,
            )
            link.close()
            return
        self._entry_links.add(link)
        self.peers.on_link_opened(link)
        self._document_relay.on_link_opened(link)
        self._vm_list_relay.on_link_opened(link)

    def on_closed(self, link: Link, reason: str) -> None:
        """Forget a link to another entry."""
        self._entry_links.discard(link)
        self.peers.on_link_closed(link)
        self._document_relay.on_link_closed(link)
        self._vm_list_relay.on_link_closed(link)
        logger.info('entry: link to %s ended: %s', link.peer.peer_id, reason)

    def on_messages(self, link: Link, received: Sequence[Message]) -> None:
        """Handle the messages of another entry."""
        for message in received:
            self._handle_document(link, message)
            self._vm_list_relay.handle(link, message)
            if isinstance(message, ReaderStatus):
                self.peers.status(link, message.read_age_seconds)
                self.lists.confirm_read(
                    message.list_index, message.list_read_age_seconds
                )

    def _handle_document(self, link: Link, message: Message) -> None:
        if isinstance(message, DocumentDigest):
            version_id = (message.revision, message.digest)
            self._start_check.record_answer(link.peer.peer_id, version_id)
        self._document_relay.handle(link, message)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._tick()
            except Exception:
                logger.exception('entry: relay step failed')
            self._stopped.wait(TICK_SECONDS)

    def _tick(self) -> None:
        self.peers.tick()
        self._reader.tick()
        self._vm_list_relay.fetcher.tick()
        self._document_relay.fetcher.tick()
        self._subset_relay.tick()
        self._start_check.tick(self._expected_peers())
        now = time.monotonic()
        if now >= self._next_status_seconds:
            self._next_status_seconds = now + STATUS_INTERVAL_SECONDS
            send_to_all(
                list(self._entry_links),
                ReaderStatus(
                    self._reader.read_age_seconds(),
                    self.lists.latest_version_id[0],
                    self.lists.read_age_seconds,
                ),
            )

    def _expected_peers(self) -> set[str] | None:
        latest = self.lists.latest
        if latest is None:
            return None
        agents = {
            vm.id
            for vm in latest.vm_list.vms
            if vm.role == Role.agent
            and vm.data_centre == self._settings.data_centre
        }
        return agents | self.peers.dialled_entry_ids()
