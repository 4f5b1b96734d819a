"""Quarantine of request contents that crash engines."""

import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# A content that was in this many crashes, once of them alone, is banned.
BAN_CRASH_COUNT = 2
BAN_SECONDS = 600.0
# Without another crash a suspicion ends after this time.
SUSPICION_SECONDS = 120.0
# Time in which the one trial after a ban must end.
TRIAL_SECONDS = 120.0
MAX_FINGERPRINT_COUNT = 10000
MAX_CRASH_ID_COUNT = 1000


class QuarantineDecision(StrEnum):
    """State how a content may run."""

    clear = 'clear'
    suspect = 'suspect'
    banned = 'banned'


@dataclass(slots=True)
class Suspicion:
    """Hold what is known about one content."""

    crash_count: int = 0
    # Sum of the blame of all crashes; a crash alone counts as one.
    blame: float = 0
    expires_seconds: float = 0
    banned_until_seconds: float = 0
    trial_until_seconds: float = 0


class Quarantine:
    """Count crashes by content and contain contents that cause them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()
        self._crash_ids: OrderedDict[str, None] = OrderedDict()

    @property
    def count(self) -> int:
        """Return how many contents are under suspicion."""
        return len(self._suspicions)

    def record_crash(self, crash_id: str, fingerprints: Iterable[int]) -> bool:
        """Blame the batch of a crash, once; tell whether it was new."""
        batch = frozenset(fingerprints)
        now = time.monotonic()
        with self._lock:
            if crash_id in self._crash_ids:
                return False
            self._crash_ids[crash_id] = None
            _trim(self._crash_ids, MAX_CRASH_ID_COUNT)
            for fingerprint in batch:
                self._blame(fingerprint, 1 / len(batch), now)
            return True

    def record_completion(self, fingerprint: int) -> bool:
        """Forget a content that ran to its end; tell whether it was known."""
        with self._lock:
            return self._suspicions.pop(fingerprint, None) is not None

    def merge_crash_count(self, fingerprint: int, crash_count: int) -> None:
        """Take over a count that came with a request."""
        if not crash_count:
            return
        now = time.monotonic()
        with self._lock:
            suspicion = self._find(fingerprint, now)
            suspicion.crash_count = max(suspicion.crash_count, crash_count)
            suspicion.expires_seconds = now + SUSPICION_SECONDS

    def crash_count(self, fingerprint: int) -> int:
        """Return in how many crashes a content was."""
        with self._lock:
            suspicion = self._suspicions.get(fingerprint)
            return suspicion.crash_count if suspicion else 0

    def check(self, fingerprint: int) -> QuarantineDecision:
        """Return how a content may run; the first after a ban is a trial."""
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

    def _blame(self, fingerprint: int, blame: float, now: float) -> None:
        suspicion = self._find(fingerprint, now)
        suspicion.crash_count += 1
        suspicion.blame += blame
        suspicion.expires_seconds = now + SUSPICION_SECONDS
        # Neighbours share the blame of a batch; only a crash alone, which
        # the second one is, brings a content up to a ban.
        if suspicion.crash_count >= BAN_CRASH_COUNT and suspicion.blame >= 1:
            suspicion.banned_until_seconds = now + BAN_SECONDS
            suspicion.trial_until_seconds = 0

    def _find(self, fingerprint: int, now: float) -> Suspicion:
        found = self._suspicions.get(fingerprint)
        if found is not None and (
            now < found.expires_seconds or found.banned_until_seconds
        ):
            self._suspicions.move_to_end(fingerprint)
            return found
        self._suspicions[fingerprint] = Suspicion()
        _trim(self._suspicions, MAX_FINGERPRINT_COUNT)
        return self._suspicions[fingerprint]


def _trim(table: OrderedDict, limit_count: int) -> None:
    while len(table) > limit_count:
        table.popitem(last=False)
