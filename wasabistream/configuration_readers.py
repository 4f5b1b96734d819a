"""Reads of the configuration service by the entries that are to read."""

import time

from wasabistream.configurations import ConfigurationStore
from wasabistream.entry_peers import EntryPeers
from wasabistream.settings import EntrySettings
from wasabistream.vm_list_stores import VmListStore
from wasabistream.watchers import ValueWatcher

# A process that no peer tells a document reads the service itself.
ALONE_SECONDS = 2.0
NOT_READING_SECONDS = -1.0


class ConfigurationReader:
    """Watch the service while this entry is to."""

    def __init__(
        self,
        settings: EntrySettings,
        documents: ConfigurationStore,
        lists: VmListStore,
        peers: EntryPeers,
    ) -> None:
        self._documents = documents
        self._lists = lists
        self._peers = peers
        self._started_seconds = time.monotonic()
        self._reading_since_seconds = self._started_seconds
        self._reads_both = False
        self._document_watcher = ValueWatcher(
            settings.configuration_url,
            settings.document_key,
            self._receive_document,
        )
        self._list_watcher = ValueWatcher(
            settings.configuration_url,
            settings.vm_list_key,
            self._receive_list,
        )

    def tick(self) -> None:
        """Start or stop to watch."""
        if self._lists.latest is None:
            reads_list, reads_document = True, self._alone()
        else:
            reads_list = self._peers.is_reader()
            reads_document = reads_list or self._alone()
        self._switch(self._list_watcher, reads_list)
        self._switch(self._document_watcher, reads_document)
        self._reads_both = reads_list and reads_document
        # A watcher with another index says nothing of the list held.
        if (
            reads_list
            and self._list_watcher.index == self._lists.latest_version_id[0]
        ):
            self._lists.confirm_read(
                self._list_watcher.index, self._list_watcher.read_age_seconds
            )

    def stop(self) -> None:
        """Stop to watch."""
        self._list_watcher.stop()
        self._document_watcher.stop()

    def read_age_seconds(self) -> float:
        """Return the age of the older answer; below 0 when not reading."""
        if not self._reads_both:
            return NOT_READING_SECONDS
        age_seconds = max(
            self._list_watcher.answer_age_seconds,
            self._document_watcher.answer_age_seconds,
        )
        # A reader that has just started is not yet silent.
        return min(age_seconds, time.monotonic() - self._reading_since_seconds)

    def _alone(self) -> bool:
        waited = time.monotonic() - self._started_seconds
        return self._documents.latest is None and waited > ALONE_SECONDS

    def _switch(self, watcher: ValueWatcher, reads: bool) -> None:
        if reads and not watcher.running:
            self._reading_since_seconds = time.monotonic()
            watcher.start()
        elif watcher.running and not reads:
            watcher.stop()

    def _receive_document(self, body: bytes, index: int) -> None:
        self._documents.offer(body, f'configuration service {index}')

    def _receive_list(self, body: bytes, index: int) -> None:
        self._lists.offer(body, index, self._list_watcher.read_age_seconds)
