"""Relay of the whole VM list between entries."""

import logging
import threading

from wasabistream.configuration_notices import (
    VmListDigest,
    VmListFetch,
    VmListPatch,
)
from wasabistream.configurations import VersionId
from wasabistream.documents import compute_digest
from wasabistream.fetchers import Fetcher
from wasabistream.link_senders import send_or_log, send_to_all
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import VmListBody
from wasabistream.patches import PatchError, apply_patch, make_patch
from wasabistream.vm_list_stores import VmListStore, VmListVersion
from wasabistream.vms import VmList

logger = logging.getLogger(__name__)


class VmListRelay:
    """Announce the VM list to other entries, send it and fetch theirs."""

    def __init__(self, own_id: str, store: VmListStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        self.fetcher = Fetcher(
            own_id, lambda: store.latest_version_id, self._fetch
        )
        store.subscribe(self._announce)

    def on_link_opened(self, link: Link) -> None:
        """Announce the latest list to an entry that has connected."""
        with self._lock:
            self._links.add(link)
        version = self._store.latest
        if version is not None:
            send_or_log(link, self._make_digest_message(version))

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._links.discard(link)
        self.fetcher.on_link_closed(link)

    def handle(self, link: Link, message: Message) -> None:
        """Handle a message of an entry; messages of other types are ignored."""
        match message:
            case VmListDigest():
                self.fetcher.record_announced_version(
                    link, (message.list_index, message.digest)
                )
            case VmListFetch():
                self._send_body_or_patch(link, message.held_digest)
            case VmListBody():
                self._store.offer(
                    message.body, message.list_index, message.read_age_seconds
                )
            case VmListPatch():
                self._receive_patch(link, message)

    def _announce(self, vm_list: VmList) -> None:
        with self._lock:
            links = list(self._links)
        version = self._store.latest
        if version is not None:
            send_to_all(links, self._make_digest_message(version))

    def _make_digest_message(self, version: VmListVersion) -> VmListDigest:
        return VmListDigest(*version.version_id, self._store.read_age_seconds)

    def _fetch(self, link: Link, version_id: VersionId) -> None:
        link.send(VmListFetch(version_id[0], self._store.latest_version_id[1]))

    def _send_body_or_patch(self, link: Link, held_digest: str) -> None:
        version = self._store.latest
        if version is None:
            return
        base = self._store.find_body(held_digest)
        patch = make_patch(base, version.body) if base else None
        age_seconds = self._store.read_age_seconds
        if patch is None:
            body = VmListBody(version.vm_list.index, age_seconds, version.body)
            send_or_log(link, body)
            return
        send_or_log(
            link,
            VmListPatch(*version.version_id, held_digest, age_seconds, patch),
        )

    def _receive_patch(self, link: Link, message: VmListPatch) -> None:
        base = self._store.find_body(message.base_digest)
        try:
            body = apply_patch(base or b'', message.patch)
        except PatchError as error:
            logger.warning('relay: patch of the VM list refused: %s', error)
            body = b''
        if compute_digest(body) == message.digest:
            self._store.offer(
                body, message.list_index, message.read_age_seconds
            )
        else:
            send_or_log(link, VmListFetch(message.list_index, ''))
