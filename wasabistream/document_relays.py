"""Relay of the document over the links of a process."""

import logging
import threading

from wasabistream.configuration_notices import (
    DocumentPatch,
    DocumentRefused,
)
from wasabistream.configurations import (
    ConfigurationStore,
    RefusedDocument,
    VersionId,
)
from wasabistream.documents import DocumentVersion, compute_digest
from wasabistream.fetchers import Fetcher
from wasabistream.link_senders import send_or_log, send_to_all
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import DocumentBody, DocumentDigest, DocumentFetch
from wasabistream.patches import PatchError, apply_patch, make_patch
from wasabistream.signals import document_changed, document_refused

logger = logging.getLogger(__name__)


class DocumentRelay:
    """Announce the document to peers, send it and fetch theirs.

    An agent announces its document only when a link opens, since all its peers
    are entries, which receive a change earlier.
    """

    def __init__(
        self, own_id: str, store: ConfigurationStore, announces_changes: bool
    ) -> None:
        self._store = store
        self._announces_changes = announces_changes
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        # Patches by digest of the base and of the version in force; None if the
        # whole document is to be sent.
        self._patches: dict[tuple[str, str], bytes | None] = {}
        self.fetcher = Fetcher(
            own_id, lambda: store.latest_version_id, self._fetch
        )
        document_changed.connect(self._on_document_changed, store)
        document_refused.connect(self._on_document_refused, store)

    def on_link_opened(self, link: Link) -> None:
        """Announce the document in force to a peer that has connected."""
        with self._lock:
            self._links.add(link)
        # A process whose start check has not ended announces none.
        version = self._store.version
        version_id = version.version_id if version else (0, '')
        send_or_log(link, DocumentDigest(*version_id))
        refusal = self._store.refusal
        if refusal is not None and self._announces_changes:
            send_or_log(link, _make_refused_message(refusal))

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._links.discard(link)
        self.fetcher.on_link_closed(link)

    def handle(self, link: Link, message: Message) -> None:
        """Handle a message of a peer; messages of other types are ignored."""
        match message:
            case DocumentDigest():
                self.fetcher.record_announced_version(
                    link, (message.revision, message.digest)
                )
            case DocumentFetch():
                self._send_body_or_patch(link, message.held_digest)
            case DocumentBody():
                version_id = (message.revision, message.digest)
                self._receive(link, version_id, message.body)
            case DocumentPatch():
                self._receive_patch(link, message)
            case DocumentRefused():
                self._store.record_peer_refusal(
                    RefusedDocument(
                        message.digest,
                        message.cause,
                        tuple(str(problem) for problem in message.problems),
                    )
                )

    def _fetch(self, link: Link, version_id: VersionId) -> None:
        link.send(DocumentFetch(*version_id, self._store.latest_version_id[1]))

    def _send_body_or_patch(self, link: Link, held_digest: str) -> None:
        version = self._store.version
        if version is None:
            return
        revision, digest = version.version_id
        patch = self._find_patch(held_digest, version)
        if patch is None:
            send_or_log(link, DocumentBody(revision, digest, version.body))
        else:
            send_or_log(
                link, DocumentPatch(revision, digest, held_digest, patch)
            )

    def _find_patch(self, base: str, version: DocumentVersion) -> bytes | None:
        key = (base, version.digest)
        with self._lock:
            # Many agents fetch the same patch at the same time.
            if key not in self._patches:
                body = self._store.find_body(base)
                self._patches = {
                    cached_key: patch
                    for cached_key, patch in self._patches.items()
                    if cached_key[1] == version.digest
                }
                self._patches[key] = (
                    None if body is None else make_patch(body, version.body)
                )
            return self._patches[key]

    def _receive_patch(self, link: Link, message: DocumentPatch) -> None:
        base = self._store.find_body(message.base_digest)
        version_id = (message.revision, message.digest)
        try:
            body = apply_patch(base or b'', message.patch)
        except PatchError as error:
            logger.warning('relay: patch refused: %s', error)
            self._fetch_whole(link, version_id)
            return
        if compute_digest(body) == message.digest:
            self._receive(link, version_id, body)
        else:
            logger.warning(
                'relay: patched document does not match the announced digest'
            )
            self._fetch_whole(link, version_id)

    def _fetch_whole(self, link: Link, version_id: VersionId) -> None:
        send_or_log(link, DocumentFetch(*version_id, ''))

    def _receive(self, link: Link, version_id: VersionId, body: bytes) -> None:
        peer = link.peer.peer_id
        if compute_digest(body) != version_id[1]:
            logger.warning(
                'relay: body of %s does not match the announced digest', peer
            )
            self.fetcher.failed()
            return
        self._store.offer(body, peer)
        if self._store.latest_version_id < version_id:
            # A peer of another version may accept what is invalid here.
            self.fetcher.ignore(version_id)

    def _on_document_changed(
        self, sender: object, version: DocumentVersion, **_: object
    ) -> None:
        if self._announces_changes:
            self._send_all(DocumentDigest(*version.version_id))

    def _on_document_refused(
        self, sender: object, refusal: RefusedDocument, **_: object
    ) -> None:
        if self._announces_changes:
            self._send_all(_make_refused_message(refusal))

    def _send_all(self, notice: Message) -> None:
        with self._lock:
            links = list(self._links)
        send_to_all(links, notice)


def _make_refused_message(refusal: RefusedDocument) -> DocumentRefused:
    return DocumentRefused(
        refusal.digest, refusal.cause, list(refusal.problems)
    )
