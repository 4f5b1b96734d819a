"""Subset of the VM list that an agent receives from entries."""

import threading

from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.documents import compute_digest
from wasabistream.fetchers import Fetcher
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import VmListBody
from wasabistream.vm_list_subset_relays import DIGEST_CHARACTERS


class VmListClient:
    """Fetch the subset from one entry when its digest changes."""

    def __init__(self, own_id: str) -> None:
        self._lock = threading.Lock()
        self._version_id: VersionId = NO_VERSION
        self._body = b''
        self.fetcher = Fetcher(own_id, lambda: self._version_id, self._fetch)

    def on_link_closed(self, link: Link) -> None:
        """Forget what was announced over a link that ended."""
        self.fetcher.on_link_closed(link)

    def handle(self, link: Link, message: Message) -> VmListBody | None:
        """Return the subset when a message renews it or its age.

        A digest that did not change returns the body received before.
        """
        match message:
            case VmListDigest():
                return self._receive_digest(link, message)
            case VmListBody():
                return self._receive_body(message)
        return None

    def _receive_digest(
        self, link: Link, message: VmListDigest
    ) -> VmListBody | None:
        version_id = (message.list_index, message.digest)
        with self._lock:
            if message.digest != self._version_id[1]:
                self.fetcher.record_announced_version(link, version_id)
                return None
            if message.list_index < self._version_id[0]:
                return None
            self._version_id = version_id
            return VmListBody(
                message.list_index, message.read_age_seconds, self._body
            )

    def _receive_body(self, message: VmListBody) -> VmListBody | None:
        digest = compute_digest(message.body)[:DIGEST_CHARACTERS]
        with self._lock:
            if message.list_index < self._version_id[0]:
                return None
            self._version_id = (message.list_index, digest)
            self._body = message.body
        return message

    def _fetch(self, link: Link, version_id: VersionId) -> None:
        link.send(VmListFetch(version_id[0], self._version_id[1]))
