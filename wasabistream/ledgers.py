"""Record of calls that may not be repeated."""

import threading
from dataclasses import dataclass

from wasabistream.requests import Answer


@dataclass
class LedgerEntry:
    """Hold the state of one key: no answer yet, or its answer."""

    answer: Answer | None = None


class CallLedger:
    """Record keys before their call and keep their answers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: dict[str, LedgerEntry] = {}

    def claim(self, key: str) -> LedgerEntry | None:
        """Record a key; return its entry when it was recorded before."""
        with self._lock:
            known = self._entries.get(key)
            if known is None:
                self._entries[key] = LedgerEntry()
            return known

    def complete(self, key: str, answer: Answer) -> None:
        """Keep the answer of a recorded key."""
        with self._lock:
            self._entries[key].answer = answer
