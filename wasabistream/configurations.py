"""Document in force at one process."""

import logging
import threading

from wasabistream import signals
from wasabistream.documents import (
    DocumentError,
    DocumentVersion,
    parse_document,
)
from wasabistream.metrics import DOCUMENT_ERRORS, DOCUMENT_REVISION

logger = logging.getLogger(__name__)


class ConfigurationStore:
    """Hold the highest document seen; it never goes back."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._version: DocumentVersion | None = None
        self.refused_problems: tuple[str, ...] = ()

    @property
    def version(self) -> DocumentVersion | None:
        """Return the version in force, one immutable value."""
        return self._version

    def offer(self, body: bytes, cause: str) -> bool:
        """Put a document in force if it is valid and newer."""
        try:
            version = parse_document(body)
        except DocumentError as error:
            self.refused_problems = error.problems
            DOCUMENT_ERRORS.inc()
            logger.error('configuration: document refused: %s', error)
            return False
        with self._lock:
            current = self._version
            if current is not None and version.order <= current.order:
                return False
            self._version = version
        DOCUMENT_REVISION.set(version.document.revision)
        logger.info(
            'configuration: revision %d in force', version.document.revision
        )
        signals.document_changed.send(
            self,
            subject=str(version.document.revision),
            cause=cause,
            digest=version.digest,
            previous=current,
            version=version,
        )
        return True
