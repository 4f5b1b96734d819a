"""Audit trail of the changes in a process and their causes."""

import threading
import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from blinker import Signal

from wasabistream import signals

MAX_RECORD_COUNT = 1000
# Causes may quote error messages of peers.
MAX_FIELD_CHARACTERS = 200


@dataclass(frozen=True)
class AuditRecord:
    """Record a change with its cause and the digest of the document."""

    at_unix_seconds: float
    change: str
    subject: str
    cause: str
    digest: str


class AuditTrail:
    """Record every signal of the process, and keep the last records."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: deque[AuditRecord] = deque(maxlen=MAX_RECORD_COUNT)
        self._receivers = []
        for name, signal in signals.__dict__.items():
            if isinstance(signal, Signal):
                receiver = self._make_receiver(name)
                # Signals keep only weak references to their receivers.
                self._receivers.append(receiver)
                signal.connect(receiver)

    def rows(self) -> list[dict[str, Any]]:
        """Return the records as rows, oldest first."""
        with self._lock:
            return [asdict(entry) for entry in self._records]

    def _make_receiver(self, change: str) -> Any:
        def record(sender: object, **fields: object) -> None:
            subject, cause, digest = (
                str(fields.get(name, ''))[:MAX_FIELD_CHARACTERS]
                for name in ('subject', 'cause', 'digest')
            )
            entry = AuditRecord(time.time(), change, subject, cause, digest)
            with self._lock:
                self._records.append(entry)

        return record
