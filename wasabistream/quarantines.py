"""Quarantine of requests that crash engines, by fingerprint."""

import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# A fingerprint is banned after this many crashes if its crash weight is at least
# 1, as it is after a crash in which it ran alone.
BAN_CRASH_COUNT = 2
BAN_SECONDS = 600.0
# A suspicion expires this long after the last crash.
SUSPICION_SECONDS = 120.0
# After a ban one request runs as a trial. Until it has completed, or for this
# time, further ones are refused.
TRIAL_SECONDS = 120.0
MAX_FINGERPRINT_COUNT = 10000
MAX_CRASH_ID_COUNT = 1000


class QuarantineDecision(StrEnum):
    """State how a request may run."""

    clear = 'clear'
    suspect = 'suspect'
    banned = 'banned'


@dataclass(slots=True)
class Suspicion:
    """Hold the crash history of one fingerprint, on the monotonic clock."""

    crash_count: int = 0
    # Sum over the crashes of 1 / number of fingerprints in the engine, which
    # is 1 for a crash alone.
    crash_weight: float = 0
    expires_seconds: float = 0
    banned_until_seconds: float = 0
    trial_until_seconds: float = 0


class Quarantine:
    """Count crashes by fingerprint and ban fingerprints that cause them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()
        self._crash_ids: OrderedDict[str, None] = OrderedDict()

    @property
    def suspicion_count(self) -> int:
        """Return the number of suspected or banned fingerprints."""
        return len(self._suspicions)

    def record_crash(self, crash_id: str, fingerprints: Iterable[int]) -> bool:
        """Count a crash for all fingerprints; return False if it is a repeat."""
        batch_fingerprints = frozenset(fingerprints)
        now = time.monotonic()
        with self._lock:
            if crash_id in self._crash_ids:
                return False
            self._crash_ids[crash_id] = None
            _evict_oldest(self._crash_ids, MAX_CRASH_ID_COUNT)
            for fingerprint in batch_fingerprints:
                self._add_crash(fingerprint, 1 / len(batch_fingerprints), now)
            return True

    def record_completion(self, fingerprint: int) -> bool:
        """Clear a request that ran to its end; return if it was suspected."""
        with self._lock:
            return self._suspicions.pop(fingerprint, None) is not None

    def merge_crash_count(self, fingerprint: int, crash_count: int) -> None:
        """Raise the crash count to the one that came with a request."""
        if not crash_count:
            return
        now = time.monotonic()
        with self._lock:
            suspicion = self._find_or_create(fingerprint, now)
            suspicion.crash_count = max(suspicion.crash_count, crash_count)
            suspicion.expires_seconds = now + SUSPICION_SECONDS

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of crashes of a fingerprint."""
        with self._lock:
            suspicion = self._suspicions.get(fingerprint)
            return suspicion.crash_count if suspicion else 0

    def check(self, fingerprint: int) -> QuarantineDecision:
        """Return how a request may run; the first after a ban is a trial."""
        now = time.monotonic()
        with self._lock:
            suspicion = self._suspicions.get(fingerprint)
            if suspicion is None:
                return QuarantineDecision.clear
            if now < max(
                suspicion.banned_until_seconds, suspicion.trial_until_seconds
            ):
                return QuarantineDecision.banned
            if suspicion.banned_until_seconds:
                suspicion.trial_until_seconds = now + TRIAL_SECONDS
                return QuarantineDecision.suspect
            if suspicion.expires_seconds <= now:
                self._suspicions.pop(fingerprint)
                return QuarantineDecision.clear
            return QuarantineDecision.suspect

    def _add_crash(
        self, fingerprint: int, crash_weight: float, now: float
    ) -> None:
        suspicion = self._find_or_create(fingerprint, now)
        suspicion.crash_count += 1
        suspicion.crash_weight += crash_weight
        suspicion.expires_seconds = now + SUSPICION_SECONDS
        # The fingerprints in a crashed engine share a weight of 1. Only a crash
        # of a request that ran alone leads to a ban; the second crash is of
        # that kind, because suspects run alone.
        if (
            suspicion.crash_count >= BAN_CRASH_COUNT
            and suspicion.crash_weight >= 1
        ):
            suspicion.banned_until_seconds = now + BAN_SECONDS
            suspicion.trial_until_seconds = 0

    def _find_or_create(self, fingerprint: int, now: float) -> Suspicion:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and (
            now < suspicion.expires_seconds or suspicion.banned_until_seconds
        ):
            self._suspicions.move_to_end(fingerprint)
            return suspicion
        self._suspicions[fingerprint] = Suspicion()
        _evict_oldest(self._suspicions, MAX_FINGERPRINT_COUNT)
        return self._suspicions[fingerprint]


def _evict_oldest(entries: OrderedDict, limit_count: int) -> None:
    while len(entries) > limit_count:
        entries.popitem(last=False)
