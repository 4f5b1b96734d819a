"""Document in force at one process."""

import logging
import threading
from collections import OrderedDict
from dataclasses import dataclass

from wasabistream import signals
from wasabistream.documents import (
    DocumentError,
    DocumentVersion,
    digest_of,
    parse_document,
)
from wasabistream.metrics import (
    DOCUMENT_ERRORS,
    DOCUMENT_OLDER_READS,
    DOCUMENT_REVISION,
)

logger = logging.getLogger(__name__)

# Earlier bodies kept as bases of patches.
KEPT_BODY_COUNT = 3
MAX_PROBLEM_COUNT = 20
MAX_PROBLEM_CHARACTERS = 300

VersionId = tuple[int, str]
NO_VERSION: VersionId = (0, '')


@dataclass(frozen=True)
class RefusedDocument:
    """Describe a published document that is not in force."""

    digest: str
    cause: str
    problems: tuple[str, ...]


class ConfigurationStore:
    """Hold the highest document seen; it never goes back.

    A store that is not confirmed keeps the highest document but puts none
    in force, until its process has asked its peers.
    """

    def __init__(self, confirmed: bool = True) -> None:
        self._lock = threading.Lock()
        self._confirmed = confirmed
        self._latest: DocumentVersion | None = None
        self._bodies: OrderedDict[str, bytes] = OrderedDict()
        self._refused_digests: OrderedDict[str, None] = OrderedDict()
        self.refusal: RefusedDocument | None = None
        self.older_read: VersionId | None = None

    @property
    def version(self) -> DocumentVersion | None:
        """Return the version in force, one immutable value."""
        return self._latest if self._confirmed else None

    @property
    def latest(self) -> DocumentVersion | None:
        """Return the highest version, in force or not."""
        return self._latest

    @property
    def latest_version_id(self) -> VersionId:
        """Return the order of the highest version."""
        held = self._latest
        return held.version_id if held else NO_VERSION

    def body_of(self, digest: str) -> bytes | None:
        """Return the body of a recent version."""
        with self._lock:
            return self._bodies.get(digest)

    def offer(self, body: bytes, cause: str) -> bool:
        """Hold a document if it is valid and newer."""
        try:
            version = parse_document(body)
        except DocumentError as error:
            self._refuse(body, cause, error)
            return False
        with self._lock:
            current = self._latest
            newer = version.version_id > self.latest_version_id
            if newer:
                self._hold(version)
            confirmed = self._confirmed
        if newer and confirmed:
            self._put_in_force(version, current, cause)
        elif not newer and version.version_id != self.latest_version_id:
            self._report_older(version, cause)
        return newer

    def confirm(self, cause: str) -> None:
        """Put the highest document in force and later ones at once."""
        with self._lock:
            if self._confirmed:
                return
            self._confirmed = True
            version = self._latest
        if version is not None:
            self._put_in_force(version, None, cause)

    def note_refusal(self, refusal: RefusedDocument) -> bool:
        """Record a refusal that a peer reports; tells whether it is new."""
        with self._lock:
            if refusal.digest in self._refused_digests:
                return False
        self._record_refusal(refusal)
        return True

    def _hold(self, version: DocumentVersion) -> None:
        self._latest = version
        self._bodies[version.digest] = version.body
        while len(self._bodies) > KEPT_BODY_COUNT:
            self._bodies.popitem(last=False)
        self.refusal = None

    def _refuse(self, body: bytes, cause: str, error: DocumentError) -> None:
        shown = error.problems[:MAX_PROBLEM_COUNT]
        left_count = len(error.problems) - len(shown)
        more = (f'$: {left_count} more problems',) if left_count else ()
        cut = tuple(problem[:MAX_PROBLEM_CHARACTERS] for problem in shown)
        self._record_refusal(
            RefusedDocument(digest_of(body), cause, cut + more)
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
            subject='document',
            cause=refusal.cause,
            digest=refusal.digest,
            refusal=refusal,
        )

    def _report_older(self, version: DocumentVersion, cause: str) -> None:
        DOCUMENT_OLDER_READS.inc()
        self.older_read = version.version_id
        logger.warning(
            'configuration: revision %d of %s is not above revision %d held',
            version.document.revision,
            cause,
            self.latest_version_id[0],
        )

    def _put_in_force(
        self,
        version: DocumentVersion,
        previous: DocumentVersion | None,
        cause: str,
    ) -> None:
        DOCUMENT_REVISION.set(version.document.revision)
        logger.info(
            'configuration: revision %d in force', version.document.revision
        )
        signals.document_changed.send(
            self,
            subject=str(version.document.revision),
            cause=cause,
            digest=version.digest,
            previous=previous,
            version=version,
        )
