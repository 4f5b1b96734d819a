"""Bounded queue between the threads of a process and its log output."""

import queue
import threading
import time
from logging import Handler, LogRecord
from logging.handlers import QueueHandler, QueueListener

from wasabistream.metrics import DROPPED_LOG_LINES

# Lines that may wait while the reader of the output is slow.
MAX_QUEUED_LINE_COUNT = 2000
# Rate and burst size of the token bucket that limits the lines of a process.
LINES_PER_SECOND = 300.0
BURST_LINE_COUNT = 1500.0


class LineBucket:
    """Limit the rate of lines; used by the output thread alone."""

    def __init__(self) -> None:
        self._available_line_count = BURST_LINE_COUNT
        self._refilled_seconds = time.monotonic()

    def try_take(self) -> bool:
        """Return whether one more line may be written now."""
        now = time.monotonic()
        added_line_count = (now - self._refilled_seconds) * LINES_PER_SECOND
        self._refilled_seconds = now
        self._available_line_count = min(
            self._available_line_count + added_line_count, BURST_LINE_COUNT
        )
        if self._available_line_count < 1:
            return False
        self._available_line_count -= 1
        return True


class DropCounter:
    """Count dropped lines until a written line states them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def add(self) -> None:
        """Count one line."""
        with self._lock:
            self._count += 1
        DROPPED_LOG_LINES.inc()

    def take(self) -> int:
        """Return the number of lines since the last call."""
        with self._lock:
            count = self._count
            self._count = 0
        return count


class LineWriter(QueueListener):
    """Write queued lines at a limited rate."""

    def __init__(
        self,
        lines: 'queue.SimpleQueue[LogRecord]',
        output: Handler,
        drops: DropCounter,
    ) -> None:
        super().__init__(lines, output)
        self._drops = drops
        self._bucket = LineBucket()

    def handle(self, record: LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._bucket.try_take():
            self._drops.add()
            return
        dropped_count = self._drops.take()
        if dropped_count:
            record.dropped_count = dropped_count
        super().handle(record)


class BoundedLogHandler(QueueHandler):
    """Pass lines to the output thread; drop them rather than block.

    `dropped_count` of the next written line says how many were dropped. No lock
    is held while a line is made or queued: a thread that waits for one on a busy
    machine waits for the processor time of all threads ahead of it.
    """

    def __init__(self, output: Handler) -> None:
        self._lines: queue.SimpleQueue[LogRecord] = queue.SimpleQueue()
        super().__init__(self._lines)
        self._drops = DropCounter()
        self._writer = LineWriter(self._lines, output, self._drops)
        self._started = False

    def handle(self, record: LogRecord) -> bool:
        """Queue a line without the lock of a handler; the queue needs none."""
        is_passed = bool(self.filter(record))
        if is_passed:
            self.emit(record)
        return is_passed

    def start(self) -> None:
        """Start the output thread."""
        self._started = True
        self._writer.start()

    def stop(self) -> None:
        """Write the queued lines and end the output thread."""
        if self._started:
            self._started = False
            self._writer.stop()

    def enqueue(self, record: LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        # Threads that pass the check together may exceed the limit by one each.
        if self._lines.qsize() < MAX_QUEUED_LINE_COUNT:
            self._lines.put(record)
        else:
            self._drops.add()
