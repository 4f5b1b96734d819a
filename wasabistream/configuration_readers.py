"""Reads of the configuration service by the entries chosen as readers.

The other entries receive documents and VM lists from their peers.
"""

import time

from wasabistream.configurations import ConfigurationStore
from wasabistream.entry_peers import EntryPeers
from wasabistream.restores.vm_list_reads import VmListReads
from wasabistream.settings import EntrySettings
from wasabistream.vm_list_stores import VmListStore
from wasabistream.watchers import ValueWatcher

# An entry that has no document after this time, from peers or otherwise, reads
# the document from the service itself.
DOCUMENT_WAIT_SECONDS = 2.0
# Reported in place of an age by an entry that does not read.
NOT_READING_SECONDS = -1.0


class ConfigurationReader:
    """Watch document and VM list in the service while this entry is a reader."""

    def __init__(
        self,
        settings: EntrySettings,
        documents: ConfigurationStore,
        lists: VmListStore,
        peers: EntryPeers,
    ) -> None:
        self._documents = documents
        self._vm_lists = lists
        self._vm_list_reads = VmListReads(lists)
        self._peers = peers
        self._started_seconds = time.monotonic()
        self._reading_since_seconds = self._started_seconds
        self._is_reading_both = False
        self._document_watcher = ValueWatcher(
            settings.configuration_url,
            settings.document_key,
            self._receive_document,
        )
        self._vm_list_watcher = ValueWatcher(
            settings.configuration_url,
            settings.vm_list_key,
            self._receive_vm_list,
        )

    def tick(self) -> None:
        """Start or stop the watchers, as this entry is a reader or not."""
        if self._vm_lists.latest is None:
            reads_vm_list, reads_document = True, self._lacks_document()
        else:
            reads_vm_list = self._peers.is_reader()
            reads_document = reads_vm_list or self._lacks_document()
        self._set_watching(self._vm_list_watcher, reads_vm_list)
        self._set_watching(self._document_watcher, reads_document)
        self._is_reading_both = reads_vm_list and reads_document
        read_age_seconds = self._vm_list_watcher.read_age_seconds
        # An earlier read says nothing about the list held since.
        if reads_vm_list and (
            read_age_seconds < self._vm_lists.stored_age_seconds
        ):
            self._vm_list_reads.check(read_age_seconds)

    def stop(self) -> None:
        """Stop both watchers."""
        self._vm_list_watcher.stop()
        self._document_watcher.stop()

    def read_age_seconds(self) -> float:
        """Return the age of the older of the last answers for document and list.

        Below 0 while this entry does not read both.
        """
        if not self._is_reading_both:
            return NOT_READING_SECONDS
        age_seconds = max(
            self._vm_list_watcher.answer_age_seconds,
            self._document_watcher.answer_age_seconds,
        )
        # A reader that has just started has no answers yet; its age counts from
        # the start.
        return min(age_seconds, time.monotonic() - self._reading_since_seconds)

    def _lacks_document(self) -> bool:
        waited_seconds = time.monotonic() - self._started_seconds
        return (
            self._documents.latest is None
            and waited_seconds > DOCUMENT_WAIT_SECONDS
        )

    def _set_watching(self, watcher: ValueWatcher, is_wanted: bool) -> None:
        if is_wanted and not watcher.running:
            self._reading_since_seconds = time.monotonic()
            watcher.start()
        elif watcher.running and not is_wanted:
            watcher.stop()

    def _receive_document(self, body: bytes, index: int) -> None:
        self._documents.offer(body, f'configuration service {index}')

    def _receive_vm_list(self, body: bytes, index: int) -> None:
        self._vm_list_reads.receive(
            body, index, self._vm_list_watcher.read_age_seconds
        )
