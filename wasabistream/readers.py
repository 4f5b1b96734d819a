"""Reads of the configuration service by the entries that are to read."""

import time
from collections.abc import Callable

from wasabistream.configurations import ConfigurationStore
from wasabistream.entry_peers import EntryPeers
from wasabistream.settings import EntrySettings
from wasabistream.vm_stores import VmListStore
from wasabistream.watchers import ValueWatcher

# A process that no peer tells a document reads the service itself.
ALONE_SECONDS = 2.0
NOT_READING_SECONDS = -1.0


class ServiceReader:
    """Watch the service while this entry is to."""

    def __init__(
        self,
        settings: EntrySettings,
        documents: ConfigurationStore,
        lists: VmListStore,
        peers: EntryPeers,
    ) -> None:
        self._settings = settings
        self._documents = documents
        self._lists = lists
        self._peers = peers
        self._started_seconds = time.monotonic()
        self._reading_since_seconds = self._started_seconds
        self._document_watcher: ValueWatcher | None = None
        self._list_watcher: ValueWatcher | None = None

    def tick(self) -> None:
        """Start or stop to watch."""
        if self._lists.held is None:
            reads_list, reads_document = True, self._alone()
        else:
            reads_list = self._peers.is_reader()
            reads_document = reads_list or self._alone()
        self._list_watcher = self._switch(
            self._list_watcher,
            reads_list,
            self._settings.vm_list_key,
            self._receive_list,
        )
        self._document_watcher = self._switch(
            self._document_watcher,
            reads_document,
            self._settings.document_key,
            self._receive_document,
        )
        if self._list_watcher is not None:
            self._lists.confirm_read(
                self._lists.held_order[0], self._list_watcher.read_age_seconds
            )

    def stop(self) -> None:
        """Stop to watch."""
        for watcher in (self._list_watcher, self._document_watcher):
            if watcher is not None:
                watcher.stop()

    def read_age_seconds(self) -> float:
        """Return the age of the older read; below 0 when not reading."""
        watchers = (self._list_watcher, self._document_watcher)
        ages = [
            watcher.read_age_seconds
            for watcher in watchers
            if watcher is not None
        ]
        if len(ages) < len(watchers):
            return NOT_READING_SECONDS
        return min(max(ages), time.monotonic() - self._reading_since_seconds)

    def _alone(self) -> bool:
        waited = time.monotonic() - self._started_seconds
        return self._documents.held is None and waited > ALONE_SECONDS

    def _switch(
        self,
        watcher: ValueWatcher | None,
        reads: bool,
        key: str,
        receive: Callable[[bytes, int], None],
    ) -> ValueWatcher | None:
        if reads and watcher is None:
            watcher = ValueWatcher(
                self._settings.configuration_url, key, receive
            )
            self._reading_since_seconds = time.monotonic()
            watcher.start()
        elif watcher is not None and not reads:
            watcher.stop()
            return None
        return watcher

    def _receive_document(self, body: bytes, index: int) -> None:
        self._documents.offer(body, f'configuration service {index}')

    def _receive_list(self, body: bytes, index: int) -> None:
        self._lists.offer(body, index, 0)
