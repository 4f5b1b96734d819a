"""Failure rates of backend servers as one entry observes them."""

import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.15
# Half-life of a rate without new outcomes, so that a server is tried again.
HALF_LIFE_SECONDS = 4.0
# Time for which a server that refused a connection is avoided.
UNREACHABLE_SECONDS = 0.7


@dataclass(slots=True)
class _Record:
    rate: float = 0
    updated_seconds: float = 0
    unreachable_until_seconds: float = 0


class FailureRates:
    """Keep a decaying failure rate of each backend server.

    The rate excludes no server: others are preferred while their rate is lower,
    and a few requests still detect when a server has recovered.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}

    def record(self, endpoint: str, *, failed: bool) -> None:
        """Record the outcome of one request."""
        with self._lock:
            record = self._records.setdefault(endpoint, _Record())
            rate = self._decayed_rate(record)
            record.rate = rate + OUTCOME_WEIGHT * (failed - rate)
            record.updated_seconds = self._clock()

    def record_unreachable(self, endpoint: str) -> None:
        """Record that a server does not accept connections."""
        self.record(endpoint, failed=True)
        with self._lock:
            unreachable_until = self._clock() + UNREACHABLE_SECONDS
            self._records[
                endpoint
            ].unreachable_until_seconds = unreachable_until

    def rate(self, endpoint: str) -> float:
        """Return the current failure rate, from 0 to 1."""
        with self._lock:
            record = self._records.get(endpoint)
            return self._decayed_rate(record) if record else 0.0

    def is_unreachable(self, endpoint: str) -> bool:
        """Return whether a server has just refused a connection."""
        record = self._records.get(endpoint)
        if record is None:
            return False
        return self._clock() < record.unreachable_until_seconds

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Remove the records of all other backend servers."""
        with self._lock:
            for endpoint in list(self._records):
                if endpoint not in endpoints:
                    self._records.pop(endpoint)

    def _decayed_rate(self, record: _Record) -> float:
        age_seconds = self._clock() - record.updated_seconds
        return record.rate * math.exp2(-age_seconds / HALF_LIFE_SECONDS)
