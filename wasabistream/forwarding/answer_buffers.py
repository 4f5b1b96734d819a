"""Memory of answers that are read whole before they are sent on."""

import io
import threading
import time

from wasabistream.exceptions import BackendError, MemoryLimitError
from wasabistream.forwarding.answer_limits import (
    AnswerLimits,
    build_answer_limits,
)
from wasabistream.memory_budgets import MemoryBudget, MemoryReservation

# Time in which other requests may end and free their memory, before an answer
# is given up for want of it.
MAX_WAIT_SECONDS = 0.25
POLL_SECONDS = 0.01


class AnswerBuffer:
    """Collect the body of one answer; create with `AnswerBuffers.open`."""

    def __init__(
        self, buffers: 'AnswerBuffers', reservation: MemoryReservation
    ) -> None:
        self._buffers = buffers
        self.reservation = reservation
        # Its contents become the answer without a copy.
        self.body = io.BytesIO()
        # True if this answer was given up to make room for others.
        self.evicted = False

    def add(self, piece: bytes) -> None:
        """Add a piece; raises BackendError when a limit is reached."""
        self._buffers.reserve(self, len(piece))
        self.body.write(piece)

    def finish(self) -> bytes:
        """Return the whole body; raises BackendError after an eviction."""
        self._buffers.keep(self)
        return self.body.getvalue()

    def close(self) -> None:
        """Free the memory, once the answer has been sent or given up."""
        self._buffers.release(self)


class AnswerBuffers:
    """Limit the memory of each answer and of all answers in progress.

    An answer for which no memory is left waits for other requests to end; then
    the longest answer that is not whole is given up.
    """

    def __init__(self, limits: AnswerLimits, memory: MemoryBudget) -> None:
        self._limits = limits
        self._memory = memory
        self._lock = threading.Lock()
        self._unfinished: set[AnswerBuffer] = set()
        self._total_bytes = 0

    def open(self) -> AnswerBuffer:
        """Return a buffer for one answer, which the caller closes."""
        buffer = AnswerBuffer(self, self._memory.open_answer())
        with self._lock:
            self._unfinished.add(buffer)
        return buffer

    def reserve(self, buffer: AnswerBuffer, size_bytes: int) -> None:
        """Reserve memory for a buffer; raises BackendError at a limit."""
        answer_bytes = buffer.reservation.size_bytes + size_bytes
        if answer_bytes > self._limits.answer_bytes:
            raise _too_long('answer is too long')
        give_up_at_seconds = time.monotonic() + MAX_WAIT_SECONDS
        while not self._reserve_now(buffer, size_bytes):
            if time.monotonic() > give_up_at_seconds:
                with self._lock:
                    self._evict_longest()
            time.sleep(POLL_SECONDS)

    def keep(self, buffer: AnswerBuffer) -> None:
        """Keep a whole answer; raises BackendError after an eviction."""
        with self._lock:
            self._unfinished.discard(buffer)
        _check(buffer)

    def release(self, buffer: AnswerBuffer) -> None:
        """Free the memory of an answer."""
        with self._lock:
            self._unfinished.discard(buffer)
            self._free(buffer)

    def _reserve_now(self, buffer: AnswerBuffer, size_bytes: int) -> bool:
        """Return whether it succeeds; raises BackendError if evicted."""
        with self._lock:
            _check(buffer)
            return self._take(buffer, size_bytes)

    def _take(self, buffer: AnswerBuffer, size_bytes: int) -> bool:
        if self._total_bytes + size_bytes > self._limits.total_bytes:
            return False
        try:
            buffer.reservation.add(size_bytes)
        except MemoryLimitError:
            return False
        self._total_bytes += size_bytes
        return True

    def _evict_longest(self) -> None:
        if not self._unfinished:
            return
        longest = max(
            self._unfinished, key=lambda buffer: buffer.reservation.size_bytes
        )
        longest.evicted = True
        longest.body = io.BytesIO()
        self._unfinished.remove(longest)
        self._free(longest)

    def _free(self, buffer: AnswerBuffer) -> None:
        self._total_bytes -= buffer.reservation.size_bytes
        buffer.reservation.release()


def build_answer_buffers(
    memory_limit_bytes: int, memory: MemoryBudget
) -> AnswerBuffers:
    """Return the buffers of a process with this much memory."""
    return AnswerBuffers(build_answer_limits(memory_limit_bytes), memory)


def _check(buffer: AnswerBuffer) -> None:
    if buffer.evicted:
        raise _too_long('answers in progress use too much memory')


def _too_long(reason: str) -> BackendError:
    return BackendError(reason, 'body')
