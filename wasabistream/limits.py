"""Limit of concurrent requests of each organisation at one entry."""

import threading
from collections import Counter

from wasabistream.documents import Organisation
from wasabistream.exceptions import AttemptError
from wasabistream.outcomes import Outcome


class ConcurrencyLimiter:
    """Count the open requests of each organisation."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def acquire(self, organisation: Organisation) -> None:
        """Count a request; raises AttemptError above the limit."""
        with self._lock:
            count = self._counts[organisation.name]
            if count >= organisation.max_concurrent_count:
                raise AttemptError('too_many_requests', Outcome.not_run, '', 1)
            self._counts[organisation.name] = count + 1

    def release(self, organisation: Organisation) -> None:
        """Free the slot of a request that has ended."""
        with self._lock:
            self._counts[organisation.name] -= 1
            if not self._counts[organisation.name]:
                self._counts.pop(organisation.name)
