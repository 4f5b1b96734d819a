"""Memory of answers that are read whole before they are sent on."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.answer_limits import AnswerLimits


class AnswerBuffer:
    """Collect the body of one answer; create with `AnswerBuffers.open`."""

    def __init__(self, buffers: 'AnswerBuffers') -> None:
        self._buffers = buffers
        self.pieces: list[bytes] = []
        self.size_bytes = 0
        # True if this answer was given up to make room for others.
        self.evicted = False

    def add(self, piece: bytes) -> None:
        """Add a piece; raises BackendError when a limit is reached."""
        self._buffers.reserve(self, len(piece))
        self.pieces.append(piece)

    def join(self) -> bytes:
        """Return the whole body; raises BackendError after an eviction."""
        if self.evicted:
            raise _too_long('answers in progress use too much memory')
        return b''.join(self.pieces)


class AnswerBuffers:
    """Limit the memory of each answer and of all answers in progress.

    When the total is exceeded, the longest answer is given up.
    """

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self._lock = threading.Lock()
        self._open: set[AnswerBuffer] = set()
        self._total_bytes = 0

    @contextmanager
    def open(self) -> Iterator[AnswerBuffer]:
        """Provide a buffer for one answer; its memory is free afterwards."""
        buffer = AnswerBuffer(self)
        with self._lock:
            self._open.add(buffer)
        try:
            yield buffer
        finally:
            with self._lock:
                self._release(buffer)

    def reserve(self, buffer: AnswerBuffer, size_bytes: int) -> None:
        """Reserve memory for a buffer; raises BackendError at a limit."""
        with self._lock:
            if not buffer.evicted:
                buffer.size_bytes += size_bytes
                self._total_bytes += size_bytes
                if self._total_bytes > self._limits.total_bytes:
                    self._evict_longest()
        if buffer.evicted:
            raise _too_long('answers in progress use too much memory')
        if buffer.size_bytes > self._limits.answer_bytes:
            raise _too_long('answer is too long')

    def _evict_longest(self) -> None:
        longest = max(self._open, key=lambda buffer: buffer.size_bytes)
        longest.evicted = True
        longest.pieces.clear()
        self._release(longest)

    def _release(self, buffer: AnswerBuffer) -> None:
        if buffer in self._open:
            self._open.remove(buffer)
            self._total_bytes -= buffer.size_bytes


def _too_long(reason: str) -> BackendError:
    return BackendError(reason, 'body')
