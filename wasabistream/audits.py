"""Audit trail of what changed in a process and why."""

import threading
import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from blinker import Signal

from wasabistream import signals

MAX_ENTRY_COUNT = 1000
# Longest text of a field; causes may quote errors of peers.
MAX_FIELD_CHARACTERS = 200


@dataclass(frozen=True)
class AuditEntry:
    """Hold one change, what caused it and the digest in force."""

    at_unix_seconds: float
    change: str
    subject: str
    cause: str
    digest: str


class AuditTrail:
    """Keep the last changes that the signals of a process report."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: deque[AuditEntry] = deque(maxlen=MAX_ENTRY_COUNT)
        self._receivers = []
        for name, signal in signals.__dict__.items():
            if isinstance(signal, Signal):
                receiver = self._receiver(name)
                # Signals hold their receivers weakly.
                self._receivers.append(receiver)
                signal.connect(receiver)

    def rows(self) -> list[dict[str, Any]]:
        """Return the entries, oldest first."""
        with self._lock:
            return [asdict(entry) for entry in self._entries]

    def _receiver(self, change: str) -> Any:
        def record(sender: object, **fields: object) -> None:
            subject, cause, digest = (
                str(fields.get(name, ''))[:MAX_FIELD_CHARACTERS]
                for name in ('subject', 'cause', 'digest')
            )
            entry = AuditEntry(time.time(), change, subject, cause, digest)
            with self._lock:
                self._entries.append(entry)

        return record
