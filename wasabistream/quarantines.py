"""Quarantine of requests that crash engines.

A request is identified by its fingerprint, a hash of its sender and content.
"""

import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# A fingerprint is banned after this many crashes if its crash weight is at
# least 1. One crash while its request ran alone adds 1.
BAN_CRASH_COUNT = 2
BAN_SECONDS = 600.0
# A crash history expires this long after the last crash.
CRASH_HISTORY_SECONDS = 120.0
# When a ban has expired, one request with the fingerprint runs as a trial.
# Others are refused until it completes, but no longer than this.
TRIAL_SECONDS = 120.0
MAX_FINGERPRINT_COUNT = 10000
MAX_CRASH_ID_COUNT = 1000


class QuarantineDecision(StrEnum):
    """State how a request may run."""

    clear = 'clear'
    suspect = 'suspect'
    banned = 'banned'


@dataclass(slots=True)
class CrashHistory:
    """Hold the crash history of one fingerprint, on the monotonic clock."""

    crash_count: int = 0
    # For each crash, 1 divided by the number of requests that share it.
    crash_weight: float = 0
    expires_monotonic_seconds: float = 0
    banned_until_monotonic_seconds: float = 0
    trial_until_monotonic_seconds: float = 0


class Quarantine:
    """Count crashes by fingerprint and ban fingerprints that cause them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histories: OrderedDict[int, CrashHistory] = OrderedDict()
        self._crash_ids: OrderedDict[str, None] = OrderedDict()

    @property
    def history_count(self) -> int:
        """Return the number of fingerprints with a crash history."""
        return len(self._histories)

    def record_crash(
        self,
        crash_id: str,
        fingerprints: Iterable[int],
        request_count: int = 0,
    ) -> bool:
        """Count a crash for its fingerprints; return False for a repeat.

        `request_count` is the number of requests that share the crash, if it
        is more than the fingerprints.
        """
        batch_fingerprints = frozenset(fingerprints)
        crash_share = 1 / max(len(batch_fingerprints), request_count, 1)
        now = time.monotonic()
        with self._lock:
            if crash_id in self._crash_ids:
                return False
            self._crash_ids[crash_id] = None
            _evict_oldest(self._crash_ids, MAX_CRASH_ID_COUNT)
            for fingerprint in batch_fingerprints:
                self._add_crash(fingerprint, crash_share, now)
            return True

    def record_completion(self, fingerprint: int) -> bool:
        """Delete a complete request's history; return whether it had one."""
        with self._lock:
            return self._histories.pop(fingerprint, None) is not None

    def merge_crash_count(self, fingerprint: int, crash_count: int) -> None:
        """Raise the crash count to the one that came from an entry."""
        if not crash_count:
            return
        now = time.monotonic()
        with self._lock:
            history = self._find_or_create(fingerprint, now)
            history.crash_count = max(history.crash_count, crash_count)
            history.expires_monotonic_seconds = now + CRASH_HISTORY_SECONDS

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of crashes of a fingerprint."""
        with self._lock:
            history = self._histories.get(fingerprint)
            return history.crash_count if history else 0

    def check(self, fingerprint: int) -> QuarantineDecision:
        """Return how a request may run; the first after a ban is a trial."""
        now = time.monotonic()
        with self._lock:
            history = self._histories.get(fingerprint)
            if history is None:
                return QuarantineDecision.clear
            if now < max(
                history.banned_until_monotonic_seconds,
                history.trial_until_monotonic_seconds,
            ):
                return QuarantineDecision.banned
            if history.banned_until_monotonic_seconds:
                history.trial_until_monotonic_seconds = now + TRIAL_SECONDS
                return QuarantineDecision.suspect
            if history.expires_monotonic_seconds <= now:
                self._histories.pop(fingerprint)
                return QuarantineDecision.clear
            return QuarantineDecision.suspect

    def is_banned(self, fingerprint: int) -> bool:
        """Return whether a request is banned; trials are no longer banned."""
        now = time.monotonic()
        with self._lock:
            history = self._histories.get(fingerprint)
            return (
                history is not None
                and now < history.banned_until_monotonic_seconds
            )

    def _add_crash(
        self, fingerprint: int, crash_share: float, now: float
    ) -> None:
        history = self._find_or_create(fingerprint, now)
        history.crash_count += 1
        history.crash_weight += crash_share
        history.expires_monotonic_seconds = now + CRASH_HISTORY_SECONDS
        # The fingerprints in a crashed engine share a weight of 1. After a
        # first crash a request runs alone, so its second crash adds 1 and
        # leads to a ban.
        if history.crash_count >= BAN_CRASH_COUNT and history.crash_weight >= 1:
            history.banned_until_monotonic_seconds = now + BAN_SECONDS
            history.trial_until_monotonic_seconds = 0

    def _find_or_create(self, fingerprint: int, now: float) -> CrashHistory:
        history = self._histories.get(fingerprint)
        if history is not None and (
            now < history.expires_monotonic_seconds
            or history.banned_until_monotonic_seconds
        ):
            self._histories.move_to_end(fingerprint)
            return history
        # The history is missing or has expired.
        self._histories[fingerprint] = CrashHistory()
        _evict_oldest(self._histories, MAX_FINGERPRINT_COUNT)
        return self._histories[fingerprint]


def _evict_oldest(records: OrderedDict, limit_count: int) -> None:
    while len(records) > limit_count:
        records.popitem(last=False)
