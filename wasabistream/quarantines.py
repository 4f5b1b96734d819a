"""Quarantine of requests that crash engines.

A request is identified by its fingerprint, a hash of its sender and content.
"""

import threading
import time
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from wasabistream.crash_notices import CrashNotice

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
# Crashes of a fingerprint of which other processes are told later. More would
# not change a decision: a stream that may have waited is banned after three.
MAX_TOLD_CRASH_COUNT = 3
# Fingerprints of which they are told. Each of hundreds of entries tells one
# that has just started.
MAX_TOLD_FINGERPRINT_COUNT = 64


class QuarantineDecision(StrEnum):
    """State how a request may run."""

    clear = 'clear'
    suspect = 'suspect'
    banned = 'banned'


@dataclass(frozen=True, slots=True)
class Crash:
    """Describe one crash of a server."""

    crash_id: str
    # Requests that share it.
    request_count: int
    # On the monotonic clock.
    at_seconds: float


@dataclass(slots=True)
class CrashHistory:
    """Hold the crash history of one fingerprint, on the monotonic clock."""

    crash_count: int = 0
    # For each crash, 1 divided by the number of requests that share it.
    crash_weight: float = 0
    expires_monotonic_seconds: float = 0
    banned_until_monotonic_seconds: float = 0
    trial_until_monotonic_seconds: float = 0
    # The latest crashes.
    crashes: list[Crash] = field(default_factory=list)


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
        age_seconds: float = 0,
    ) -> bool:
        """Count a crash for its fingerprints; return False for a repeat.

        `request_count` is the number of requests that share the crash, if it
        is more than the fingerprints.
        """
        batch_fingerprints = frozenset(fingerprints)
        now = time.monotonic()
        crash = Crash(
            crash_id,
            max(len(batch_fingerprints), request_count, 1),
            now - max(age_seconds, 0),
        )
        with self._lock:
            if crash_id in self._crash_ids:
                return False
            self._crash_ids[crash_id] = None
            _evict_oldest(self._crash_ids, MAX_CRASH_ID_COUNT)
            for fingerprint in batch_fingerprints:
                self._add_crash(fingerprint, crash)
            return True

    def describe(self) -> list[CrashNotice]:
        """Return the notices that tell another process of the crashes.

        They state the age of each crash, so that a ban does not last longer
        there.
        """
        now = time.monotonic()
        fingerprints: defaultdict[Crash, list[int]] = defaultdict(list)
        with self._lock:
            for fingerprint in self._list_told(now):
                for crash in self._histories[fingerprint].crashes:
                    fingerprints[crash].append(fingerprint)
        return [
            CrashNotice(
                told.crash_id,
                crashed,
                told.request_count,
                now - told.at_seconds,
            )
            for told, crashed in fingerprints.items()
        ]

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

    def _list_told(self, now: float) -> list[int]:
        """Return the latest fingerprints, those that are banned first."""
        current = [
            fingerprint
            for fingerprint, history in reversed(self._histories.items())
            if _is_current(history, now)
        ]
        # The requests beside one that crashes a server are many.
        current.sort(
            key=lambda fingerprint: (
                not self._histories[fingerprint].banned_until_monotonic_seconds
            )
        )
        return current[:MAX_TOLD_FINGERPRINT_COUNT]

    def _add_crash(self, fingerprint: int, crash: Crash) -> None:
        # A crash that is told late belongs to the history of its time.
        history = self._find_or_create(fingerprint, crash.at_seconds)
        history.crash_count += 1
        history.crash_weight += 1 / crash.request_count
        history.crashes = [*history.crashes, crash][-MAX_TOLD_CRASH_COUNT:]
        history.expires_monotonic_seconds = max(
            history.expires_monotonic_seconds,
            crash.at_seconds + CRASH_HISTORY_SECONDS,
        )
        # The fingerprints in a crashed engine share a weight of 1. After a
        # first crash a request runs alone, so its second crash adds 1 and
        # leads to a ban.
        if history.crash_count >= BAN_CRASH_COUNT and history.crash_weight >= 1:
            history.banned_until_monotonic_seconds = max(
                history.banned_until_monotonic_seconds,
                crash.at_seconds + BAN_SECONDS,
            )
            history.trial_until_monotonic_seconds = 0

    def _find_or_create(self, fingerprint: int, now: float) -> CrashHistory:
        history = self._histories.get(fingerprint)
        if history is not None and _is_current(history, now):
            self._histories.move_to_end(fingerprint)
            return history
        # The history is missing or has expired.
        self._histories[fingerprint] = CrashHistory()
        _evict_oldest(self._histories, MAX_FINGERPRINT_COUNT)
        return self._histories[fingerprint]


def _is_current(history: CrashHistory, now: float) -> bool:
    return (
        now < history.expires_monotonic_seconds
        or history.banned_until_monotonic_seconds > 0
    )


def _evict_oldest(records: OrderedDict, limit_count: int) -> None:
    while len(records) > limit_count:
        records.popitem(last=False)
