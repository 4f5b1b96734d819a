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
from wasabistream.documents import DocumentVersion, digest_of
from wasabistream.fetchers import Fetcher
from wasabistream.link_senders import send_or_log, send_to_all
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.notices import DocumentBody, DocumentDigest, DocumentFetch
from wasabistream.patches import PatchError, apply_patch, make_patch
from wasabistream.signals import document_changed, document_refused

logger = logging.getLogger(__name__)


class DocumentRelay:
    """Announce, hand out and fetch the document.

    An agent announces only when a link opens, since all its peers are
    entries, which learn of a change earlier.
    """

    def __init__(
        self, own_id: str, store: ConfigurationStore, announces: bool
    ) -> None:
        self._store = store
        self._announces = announces
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        # Patch to the version in force by the digest of its base.
        self._patches: dict[tuple[str, str], bytes | None] = {}
        self.fetcher = Fetcher(
            own_id, lambda: store.latest_version_id, self._fetch
        )
        document_changed.connect(self._on_changed, store)
        document_refused.connect(self._on_refused, store)

    def on_link_opened(self, link: Link) -> None:
        """Tell a new peer which document is in force."""
        with self._lock:
            self._links.add(link)
        # A process that checks at start answers that it has none.
        version = self._store.version
        order = version.version_id if version else (0, '')
        send_or_log(link, DocumentDigest(*order))
        refusal = self._store.refusal
        if refusal is not None and self._announces:
            send_or_log(link, _refused_notice(refusal))

    def on_link_closed(self, link: Link) -> None:
        """Forget a link that ended."""
        with self._lock:
            self._links.discard(link)
        self.fetcher.on_link_closed(link)

    def handle(self, link: Link, message: Message) -> None:
        """Handle a message; other messages are passed over."""
        match message:
            case DocumentDigest():
                self.fetcher.offer(link, (message.revision, message.digest))
            case DocumentFetch():
                self._reply(link, message.held_digest)
            case DocumentBody():
                order = (message.revision, message.digest)
                self._receive(link, order, message.body)
            case DocumentPatch():
                self._receive_patch(link, message)
            case DocumentRefused():
                self._store.note_refusal(
                    RefusedDocument(
                        message.digest,
                        message.cause,
                        tuple(str(problem) for problem in message.problems),
                    )
                )

    def _fetch(self, link: Link, order: VersionId) -> None:
        link.send(DocumentFetch(*order, self._store.latest_version_id[1]))

    def _reply(self, link: Link, held_digest: str) -> None:
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
            # Many agents ask for the same patch at the same moment.
            if key not in self._patches:
                body = self._store.body_of(base)
                self._patches = {
                    old: patch
                    for old, patch in self._patches.items()
                    if old[1] == version.digest
                }
                self._patches[key] = (
                    None if body is None else make_patch(body, version.body)
                )
            return self._patches[key]

    def _receive_patch(self, link: Link, message: DocumentPatch) -> None:
        base = self._store.body_of(message.base_digest)
        order = (message.revision, message.digest)
        try:
            body = apply_patch(base or b'', message.patch)
        except PatchError as error:
            logger.warning('relay: patch refused: %s', error)
            self._fetch_whole(link, order)
            return
        if digest_of(body) == message.digest:
            self._receive(link, order, body)
        else:
            logger.warning('relay: patch gives another digest')
            self._fetch_whole(link, order)

    def _fetch_whole(self, link: Link, order: VersionId) -> None:
        send_or_log(link, DocumentFetch(*order, ''))

    def _receive(self, link: Link, order: VersionId, body: bytes) -> None:
        peer = link.peer.peer_id
        if digest_of(body) != order[1]:
            logger.warning('relay: body of %s has another digest', peer)
            self.fetcher.failed()
            return
        self._store.offer(body, peer)
        if self._store.latest_version_id < order:
            # A peer of another version accepts what is not valid here.
            self.fetcher.ignore(order)

    def _on_changed(
        self, sender: object, version: DocumentVersion, **_: object
    ) -> None:
        if self._announces:
            self._send_all(DocumentDigest(*version.version_id))

    def _on_refused(
        self, sender: object, refusal: RefusedDocument, **_: object
    ) -> None:
        if self._announces:
            self._send_all(_refused_notice(refusal))

    def _send_all(self, notice: Message) -> None:
        with self._lock:
            links = list(self._links)
        send_to_all(links, notice)


def _refused_notice(refusal: RefusedDocument) -> DocumentRefused:
    return DocumentRefused(
        refusal.digest, refusal.cause, list(refusal.problems)
    )
