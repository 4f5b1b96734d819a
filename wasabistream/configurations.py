"""Store of the configuration document at one process."""

import logging
import threading
from collections import OrderedDict
from dataclasses import dataclass

from wasabistream import signals
from wasabistream.documents import (
    DocumentError,
    DocumentVersion,
    compute_digest,
    parse_document,
)
from wasabistream.metrics import (
    DOCUMENT_ERRORS,
    DOCUMENT_OLDER_READS,
    DOCUMENT_REVISION,
)
from wasabistream.ordered_deliveries import OrderedDelivery

logger = logging.getLogger(__name__)

# Versions whose bodies are kept as bases of patches.
KEPT_BODY_COUNT = 3
# Most problems that are reported for one refused document. It is also the
# number of refused documents whose digests are remembered.
MAX_PROBLEM_COUNT = 20
MAX_PROBLEM_CHARACTERS = 300

# Number and digest of a version. The number is the revision of a document, or
# the index that the configuration service returned with a VM list. The digest
# orders versions of one number, so that all processes agree on the latest one.
VersionId = tuple[int, str]
NO_VERSION: VersionId = (0, '')


@dataclass(frozen=True)
class RefusedDocument:
    """Describe a published document that was refused as invalid."""

    digest: str
    # Its source: the id of the peer that sent it, or 'configuration service'
    # and the index that the service returned with it.
    cause: str
    problems: tuple[str, ...]


@dataclass(frozen=True)
class DocumentChange:
    """Describe a version that comes into force."""

    version: DocumentVersion
    # The version in force until then; None at the first one.
    previous: DocumentVersion | None
    # Its source, or the event that confirmed the store.
    cause: str


class ConfigurationStore:
    """Keep the latest document received; an older one never replaces it.

    A store that is not confirmed puts no document in force until its process
    has asked its peers for a later one.
    """

    def __init__(self, confirmed: bool = True) -> None:
        self._lock = threading.Lock()
        self._confirmed = confirmed
        self._latest: DocumentVersion | None = None
        self._bodies: OrderedDict[str, bytes] = OrderedDict()
        self._refused_digests: OrderedDict[str, None] = OrderedDict()
        self._changes = OrderedDelivery(self._put_in_force)
        self.refusal: RefusedDocument | None = None
        # Id of the last offered version that was older than the latest one.
        self.older_read: VersionId | None = None

    @property
    def version(self) -> DocumentVersion | None:
        """Return the version in force, an immutable value."""
        return self._latest if self._confirmed else None

    @property
    def latest(self) -> DocumentVersion | None:
        """Return the latest version, in force or not."""
        return self._latest

    @property
    def latest_version_id(self) -> VersionId:
        """Return the id of the latest version."""
        version = self._latest
        return version.version_id if version else NO_VERSION

    def find_body(self, digest: str) -> bytes | None:
        """Return the body of one of the last versions, or None."""
        with self._lock:
            return self._bodies.get(digest)

    def offer(self, body: bytes, cause: str) -> bool:
        """Store a document if it is valid and later; tells whether it was.

        `cause` names its source, as in `RefusedDocument`.
        """
        try:
            version = parse_document(body)
        except DocumentError as error:
            self._refuse(body, cause, error)
            return False
        with self._lock:
            current = self._latest
            newer = version.version_id > self.latest_version_id
            if newer:
                self._store_version(version)
            if newer and self._confirmed:
                self._changes.add(DocumentChange(version, current, cause))
        if newer:
            self._changes.flush()
        elif version.version_id != self.latest_version_id:
            self._record_older_version(version, cause)
        return newer

    def confirm(self, cause: str) -> None:
        """Put the latest document in force, and from now on each later one.

        `cause` describes the event that confirmed the store.
        """
        with self._lock:
            if self._confirmed:
                return
            self._confirmed = True
            if self._latest is not None:
                self._changes.add(DocumentChange(self._latest, None, cause))
        self._changes.flush()

    def record_peer_refusal(self, refusal: RefusedDocument) -> bool:
        """Record a refusal that a peer reports; tells whether it was new."""
        with self._lock:
            if refusal.digest in self._refused_digests:
                return False
        self._record_refusal(refusal)
        return True

    def _store_version(self, version: DocumentVersion) -> None:
        self._latest = version
        self._bodies[version.digest] = version.body
        while len(self._bodies) > KEPT_BODY_COUNT:
            self._bodies.popitem(last=False)
        self.refusal = None

    def _refuse(self, body: bytes, cause: str, error: DocumentError) -> None:
        listed = error.problems[:MAX_PROBLEM_COUNT]
        omitted_count = len(error.problems) - len(listed)
        more = (f'$: {omitted_count} more problems',) if omitted_count else ()
        cut = tuple(problem[:MAX_PROBLEM_CHARACTERS] for problem in listed)
        self._record_refusal(
            RefusedDocument(compute_digest(body), cause, cut + more)
        )

    def _record_refusal(self, refusal: RefusedDocument) -> None:
        with self._lock:
            self.refusal = refusal
            self._refused_digests[refusal.digest] = None
            while len(self._refused_digests) > MAX_PROBLEM_COUNT:
                self._refused_digests.popitem(last=False)
        DOCUMENT_ERRORS.inc()
        logger.error(
            'configuration: document of %s refused: %s',
            refusal.cause,
            '; '.join(refusal.problems),
        )
        signals.document_refused.send(
            self,
            # An invalid document may have no readable revision.
            subject='document',
            cause=refusal.cause,
            digest=refusal.digest,
            refusal=refusal,
        )

    def _record_older_version(
        self, version: DocumentVersion, cause: str
    ) -> None:
        DOCUMENT_OLDER_READS.inc()
        self.older_read = version.version_id
        logger.warning(
            'configuration: revision %d from %s is not above revision %d held',
            version.document.revision,
            cause,
            self.latest_version_id[0],
        )

    def _put_in_force(self, change: DocumentChange) -> None:
        version = change.version
        DOCUMENT_REVISION.set(version.document.revision)
        logger.info(
            'configuration: revision %d in force', version.document.revision
        )
        signals.document_changed.send(
            self,
            subject=str(version.document.revision),
            cause=change.cause,
            digest=version.digest,
            previous=change.previous,
            version=version,
        )
