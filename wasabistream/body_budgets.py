"""Memory of the bodies of callers' requests in progress."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from wasabistream.exceptions import RequestError

# Memory that a process without a stated limit is expected to have.
DEFAULT_MEMORY_LIMIT_BYTES = 128 * 1024 * 1024
# Share of a process's memory for bodies. Joining the pieces of one takes its
# length once more.
BODY_MEMORY_RATIO = 0.3
# Shorter bodies are always taken. Together with a thread for each request they
# stay below the share, and slow callers with long bodies cannot stop them.
UNCOUNTED_BODY_BYTES = 64 * 1024


class BodyReservation:
    """Hold the memory of one body; create with `BodyBudget.open`."""

    def __init__(self, budget: 'BodyBudget') -> None:
        self._budget = budget
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Reserve memory; raises RequestError if too much is in use."""
        self._budget.reserve(self, size_bytes)


class BodyBudget:
    """Limit the memory of all bodies in progress."""

    def __init__(self, memory_limit_bytes: int) -> None:
        self._total_limit_bytes = int(memory_limit_bytes * BODY_MEMORY_RATIO)
        self._lock = threading.Lock()
        self._total_bytes = 0

    @contextmanager
    def open(self) -> Iterator[BodyReservation]:
        """Provide the reservation of one request; it ends with the block."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            with self._lock:
                self._total_bytes -= _counted_bytes(reservation.size_bytes)

    def reserve(self, reservation: BodyReservation, size_bytes: int) -> None:
        """Reserve memory; raises RequestError if too much is in use."""
        with self._lock:
            before = reservation.size_bytes
            added = _counted_bytes(before + size_bytes) - _counted_bytes(before)
            if added and self._total_bytes + added > self._total_limit_bytes:
                raise RequestError(
                    'bodies in progress use too much memory', 503, 'busy'
                )
            self._total_bytes += added
            reservation.size_bytes += size_bytes


def _counted_bytes(size_bytes: int) -> int:
    return size_bytes if size_bytes > UNCOUNTED_BODY_BYTES else 0
