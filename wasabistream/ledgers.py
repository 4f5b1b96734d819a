"""Record of calls that may not be repeated."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from wasabistream.requests import Answer

# Room for the key, the digest and the objects that hold one entry.
ENTRY_BYTES = 600
# Largest answer that is kept to be given again.
MAX_KEPT_ANSWER_BYTES = 64 * 1024

# Repeats of one key that may wait for the first answer at a time.
MAX_WAITER_COUNT = 32


class CallState(StrEnum):
    """State of a recorded key."""

    running = 'running'
    answered = 'answered'
    answer_not_kept = 'answer_not_kept'
    no_answer = 'no_answer'
    # Told to those that wait; a released key has no entry.
    released = 'released'


class LedgerFullError(Exception):
    """Report that a new key does not fit; old keys are never dropped."""


@dataclass
class LedgerEntry:
    """Hold the state of one key and those that wait for its answer."""

    digest: str
    recorded_seconds: float
    retention_seconds: float
    state: CallState = CallState.running
    answer: Answer | None = None
    size_bytes: int = ENTRY_BYTES
    waiters: list[Callable[['LedgerEntry'], None]] = field(default_factory=list)


class CallLedger:
    """Record keys before their call and keep their answers."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._entries: dict[str, LedgerEntry] = {}
        self.used_bytes = 0
        # Latest time at which a key was recorded that has been forgotten.
        self._forgotten_seconds = float('-inf')

    @property
    def key_count(self) -> int:
        """Return how many keys are recorded."""
        return len(self._entries)

    def complete_seconds(self, now: float) -> float:
        """Return the age below which no key has been forgotten."""
        with self._lock:
            self._forget(now)
            return now - self._forgotten_seconds

    def find(self, key: str) -> LedgerEntry | None:
        """Return the entry of a recorded key."""
        return self._entries.get(key)

    def record_key(
        self, key: str, digest: str, now: float, retention_seconds: float
    ) -> None:
        """Record a new key; raises LedgerFullError when it does not fit."""
        with self._lock:
            self._forget(now)
            # The answer needs room too, so that a call that has run can
            # always be answered again.
            size_bytes = ENTRY_BYTES + len(key) + MAX_KEPT_ANSWER_BYTES
            if self.used_bytes + size_bytes > self._limit_bytes:
                raise LedgerFullError(key)
            self._entries[key] = LedgerEntry(
                digest, now, retention_seconds, size_bytes=size_bytes
            )
            self.used_bytes += size_bytes

    def wait(
        self, entry: LedgerEntry, waiter: Callable[[LedgerEntry], None]
    ) -> bool:
        """Call a waiter at the end of a call; return False if it cannot."""
        with self._lock:
            if (
                entry.state != CallState.running
                or len(entry.waiters) >= MAX_WAITER_COUNT
            ):
                return False
            entry.waiters.append(waiter)
            return True

    def complete(self, key: str, answer: Answer | None) -> None:
        """Keep the answer of a recorded key, or that there was none."""
        with self._lock:
            entry = self._entries[key]
            size_bytes = ENTRY_BYTES + len(key)
            if answer is None:
                entry.state = CallState.no_answer
            elif len(answer.body) > MAX_KEPT_ANSWER_BYTES:
                entry.state = CallState.answer_not_kept
            else:
                entry.state = CallState.answered
                entry.answer = answer
                size_bytes += len(answer.body)
            self.used_bytes += size_bytes - entry.size_bytes
            entry.size_bytes = size_bytes
            waiters = _take_waiters(entry)
        for waiter in waiters:
            waiter(entry)

    def release(self, key: str) -> list[Callable[[LedgerEntry], None]]:
        """Drop a key whose call was never sent; return those that wait."""
        with self._lock:
            entry = self._entries.pop(key)
            self.used_bytes -= entry.size_bytes
            return _take_waiters(entry)

    def _forget(self, now: float) -> None:
        # Entries stand in the order in which they were recorded.
        ended: list[str] = []
        for key, entry in self._entries.items():
            if now < entry.recorded_seconds + entry.retention_seconds:
                break
            if entry.state != CallState.running:
                ended.append(key)
        for key in ended:
            forgotten = self._entries.pop(key)
            self.used_bytes -= forgotten.size_bytes
            self._forgotten_seconds = max(
                self._forgotten_seconds, forgotten.recorded_seconds
            )


def _take_waiters(
    entry: LedgerEntry,
) -> list[Callable[[LedgerEntry], None]]:
    waiters = list(entry.waiters)
    entry.waiters.clear()
    return waiters
