"""Ledger of the calls that may not be repeated, kept in memory."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from wasabistream.requests import ServiceAnswer

# Memory of one entry with its digest and objects, without key and answer.
ENTRY_OVERHEAD_BYTES = 600
# Largest answer body that is kept for repeats.
MAX_KEPT_ANSWER_BYTES = 64 * 1024

# Repeats of one key that may wait for the answer at the same time.
MAX_WAITER_COUNT = 32


class CallState(StrEnum):
    """State of a recorded key."""

    running = 'running'
    answered = 'answered'
    answer_not_kept = 'answer_not_kept'
    no_answer = 'no_answer'
    # Passed to waiters when the call was never sent; the key has no entry then.
    released = 'released'


class LedgerFullError(Exception):
    """Report that a new key does not fit; recorded keys are never evicted."""


@dataclass
class LedgerEntry:
    """Hold the state, the answer and the waiting repeats of one key."""

    digest: str
    recorded_at_seconds: float
    retention_seconds: float
    state: CallState = CallState.running
    answer: ServiceAnswer | None = None
    size_bytes: int = ENTRY_OVERHEAD_BYTES
    waiters: list[Callable[['LedgerEntry'], None]] = field(default_factory=list)


class CallLedger:
    """Record each key before its call is sent, and keep the answers."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._entries: dict[str, LedgerEntry] = {}
        self.used_bytes = 0
        # Latest record time of the keys that have been dropped.
        self._dropped_until_seconds = float('-inf')

    @property
    def key_count(self) -> int:
        """Return how many keys are recorded."""
        return len(self._entries)

    def complete_age_seconds(self, now: float) -> float:
        """Return the age below which no recorded key has been dropped."""
        with self._lock:
            self._drop_expired(now)
            return now - self._dropped_until_seconds

    def find(self, key: str) -> LedgerEntry | None:
        """Return the entry of a key, or None if the key is not recorded."""
        return self._entries.get(key)

    def record_key(
        self, key: str, digest: str, now: float, retention_seconds: float
    ) -> None:
        """Record a new key; raises LedgerFullError when it does not fit."""
        with self._lock:
            self._drop_expired(now)
            # Memory for the largest kept answer is reserved, so that the
            # answer of a call that runs can be kept.
            size_bytes = ENTRY_OVERHEAD_BYTES + len(key) + MAX_KEPT_ANSWER_BYTES
            if self.used_bytes + size_bytes > self._max_bytes:
                raise LedgerFullError(key)
            self._entries[key] = LedgerEntry(
                digest, now, retention_seconds, size_bytes=size_bytes
            )
            self.used_bytes += size_bytes

    def wait(
        self, entry: LedgerEntry, waiter: Callable[[LedgerEntry], None]
    ) -> bool:
        """Add a waiter for the end of a call; return False if it is refused."""
        with self._lock:
            if (
                entry.state != CallState.running
                or len(entry.waiters) >= MAX_WAITER_COUNT
            ):
                return False
            entry.waiters.append(waiter)
            return True

    def complete(self, key: str, answer: ServiceAnswer | None) -> None:
        """Record the answer of a call, or None for a call without an answer."""
        with self._lock:
            entry = self._entries[key]
            size_bytes = ENTRY_OVERHEAD_BYTES + len(key)
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

    def remove_unsent(self, key: str) -> list[Callable[[LedgerEntry], None]]:
        """Remove a key whose call was never sent; return its waiters."""
        with self._lock:
            entry = self._entries.pop(key)
            self.used_bytes -= entry.size_bytes
            return _take_waiters(entry)

    def _drop_expired(self, now: float) -> None:
        # Entries are in the order in which they were recorded.
        expired_keys: list[str] = []
        for key, entry in self._entries.items():
            if now < entry.recorded_at_seconds + entry.retention_seconds:
                break
            if entry.state != CallState.running:
                expired_keys.append(key)
        for key in expired_keys:
            expired_entry = self._entries.pop(key)
            self.used_bytes -= expired_entry.size_bytes
            self._dropped_until_seconds = max(
                self._dropped_until_seconds, expired_entry.recorded_at_seconds
            )


def _take_waiters(
    entry: LedgerEntry,
) -> list[Callable[[LedgerEntry], None]]:
    waiters = list(entry.waiters)
    entry.waiters.clear()
    return waiters
