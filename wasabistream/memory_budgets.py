"""Memory of a process, shared by all requests and answers in progress.

The limit covers resident memory and bytes that the kernel has received for
the process. What is known beforehand is set aside: the program itself, and for
each thread its stack and the buffers and short bodies of one request. The rest
is handed out to connections, long bodies and long answers.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from wasabistream.exceptions import MemoryLimitError

# Memory that a process without a stated limit is expected to have.
DEFAULT_MEMORY_LIMIT_BYTES = 128 * 1024 * 1024
# The program with its links and its view of the fleet, without requests.
PROGRAM_BYTES = 42 * 1024 * 1024
# Shorter bodies and answers are always taken and come out of the memory of
# their thread, so that callers with long ones cannot stop them.
UNCOUNTED_BYTES = 64 * 1024
# A short body and a short answer with their copies on the way, the receive
# buffers of the caller's and the server's connection, and the stack.
THREAD_BYTES = 160 * 1024
# Part of the limit that is handed out even if the program takes more.
MIN_SHARED_RATIO = 0.2
# Memory that only connections take, so that long bodies do not keep new ones
# out; further connections share the memory of bodies and answers.
CONNECTION_RESERVE_BYTES = 8 * 1024 * 1024
# Part of the shared memory that open connections may take.
CONNECTION_RATIO = 0.5
# Part of the limit that bodies leave free: an answer that is lost for want of
# memory costs more than a request that is refused.
ANSWER_RESERVE_RATIO = 0.1


class MemoryReservation:
    """Hold the memory of one body or answer; a `MemoryBudget` creates it."""

    def __init__(self, budget: 'MemoryBudget', reserve_bytes: int) -> None:
        self._budget = budget
        self._reserve_bytes = reserve_bytes
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Reserve memory; raises MemoryLimitError if too much is in use."""
        before_bytes = _counted_bytes(self.size_bytes)
        after_bytes = _counted_bytes(self.size_bytes + size_bytes)
        self._budget.take(after_bytes - before_bytes, self._reserve_bytes)
        self.size_bytes += size_bytes

    def move(self) -> 'MemoryReservation':
        """Return a reservation that holds the memory in place of this one."""
        moved = MemoryReservation(self._budget, self._reserve_bytes)
        moved.size_bytes = self.size_bytes
        self.size_bytes = 0
        return moved

    def release(self) -> None:
        """Free the memory."""
        self._budget.free(_counted_bytes(self.size_bytes))
        self.size_bytes = 0


class MemoryBudget:
    """Hand out the memory of a process."""

    def __init__(self, limit_bytes: int, thread_count: int = 0) -> None:
        self._lock = threading.Lock()
        set_aside_bytes = (
            PROGRAM_BYTES
            + CONNECTION_RESERVE_BYTES
            + thread_count * THREAD_BYTES
        )
        self.shared_bytes = max(
            limit_bytes - set_aside_bytes, int(limit_bytes * MIN_SHARED_RATIO)
        )
        self._answer_reserve_bytes = int(limit_bytes * ANSWER_RESERVE_RATIO)
        self._used_bytes = 0
        self._connection_bytes = 0

    @contextmanager
    def open_body(self) -> Iterator[MemoryReservation]:
        """Provide the memory of a request's body until the block ends."""
        reservation = MemoryReservation(self, self._answer_reserve_bytes)
        try:
            yield reservation
        finally:
            reservation.release()

    def open_answer(self) -> MemoryReservation:
        """Return the memory of an answer, which the caller releases."""
        return MemoryReservation(self, 0)

    def take(self, size_bytes: int, reserve_bytes: int) -> None:
        """Take memory and leave a reserve; raises MemoryLimitError."""
        if not size_bytes:
            return
        with self._lock:
            if self._used_bytes + size_bytes + reserve_bytes > (
                self.shared_bytes
            ):
                raise MemoryLimitError('requests use too much memory')
            self._used_bytes += size_bytes

    def free(self, size_bytes: int) -> None:
        """Return memory that was taken."""
        with self._lock:
            self._used_bytes -= size_bytes

    def take_connection(self, buffer_bytes: int) -> None:
        """Take the receive buffer of a connection; raises MemoryLimitError."""
        limit_bytes = max(
            self.shared_bytes * CONNECTION_RATIO, CONNECTION_RESERVE_BYTES
        )
        with self._lock:
            total_bytes = self._connection_bytes + buffer_bytes
            added_bytes = self._add_to_connections(buffer_bytes)
            if total_bytes > limit_bytes or (
                added_bytes and self._used_bytes > self.shared_bytes
            ):
                self._add_to_connections(-buffer_bytes)
                raise MemoryLimitError('connections use too much memory')

    def free_connection(self, buffer_bytes: int) -> None:
        """Return the receive buffer of a connection."""
        with self._lock:
            self._add_to_connections(-buffer_bytes)

    def _add_to_connections(self, size_bytes: int) -> int:
        """Return what the change adds to the shared memory in use."""
        before_bytes = _beyond_reserve_bytes(self._connection_bytes)
        self._connection_bytes += size_bytes
        added_bytes = (
            _beyond_reserve_bytes(self._connection_bytes) - before_bytes
        )
        self._used_bytes += added_bytes
        return added_bytes


def _beyond_reserve_bytes(connection_bytes: int) -> int:
    return max(connection_bytes - CONNECTION_RESERVE_BYTES, 0)


def _counted_bytes(size_bytes: int) -> int:
    return size_bytes if size_bytes > UNCOUNTED_BYTES else 0
