"""Part of the VM list that an agent holds."""

import threading

from wasabistream.configuration_notices import VmListDigest, VmListFetch
from wasabistream.configurations import NO_VERSION, VersionId
from wasabistream.documents import digest_of
from wasabistream.fetchers import Fetcher
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import VmListBody
from wasabistream.vm_list_subset_relays import DIGEST_CHARACTERS


class VmListClient:
    """Fetch the part from one entry when its digest changes."""

    def __init__(self, own_id: str) -> None:
        self._lock = threading.Lock()
        self._order: VersionId = NO_VERSION
        self._body = b''
        self.fetcher = Fetcher(own_id, lambda: self._order, self._fetch)

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        self.fetcher.on_link_closed(link)

    def handle(self, link: Link, message: Message) -> VmListBody | None:
        """Return the part when a message renews it or its age.

        A part that did not change comes with the body held before.
        """
        match message:
            case VmListDigest():
                return self._receive_digest(link, message)
            case VmListBody():
                return self._receive(message)
        return None

    def _receive_digest(
        self, link: Link, message: VmListDigest
    ) -> VmListBody | None:
        order = (message.list_index, message.digest)
        with self._lock:
            if message.digest != self._order[1]:
                self.fetcher.offer(link, order)
                return None
            if message.list_index < self._order[0]:
                return None
            self._order = order
            return VmListBody(
                message.list_index, message.read_age_seconds, self._body
            )

    def _receive(self, message: VmListBody) -> VmListBody | None:
        digest = digest_of(message.body)[:DIGEST_CHARACTERS]
        with self._lock:
            if message.list_index < self._order[0]:
                return None
            self._order = (message.list_index, digest)
            self._body = message.body
        return message

    def _fetch(self, link: Link, order: VersionId) -> None:
        link.send(VmListFetch(order[0], self._order[1]))
