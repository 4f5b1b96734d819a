"""Bounded queue between the threads of a process and its log output."""

import queue
import threading
import time
from logging import Handler, LogRecord
from logging.handlers import QueueHandler, QueueListener

from wasabistream.metrics import DROPPED_LOG_LINES

# Lines that may wait for a slow reader of the output.
MAX_QUEUED_LINE_COUNT = 2000
# Lines of a process in a second over a longer time, and in a burst.
LINES_PER_SECOND = 300.0
BURST_LINE_COUNT = 1500.0


class BoundedLogHandler(QueueHandler):
    """Hand lines to the output thread; drop them rather than wait.

    The next line that is written tells how many were dropped before it.
    """

    def __init__(self, output: Handler) -> None:
        lines: queue.Queue[LogRecord] = queue.Queue(MAX_QUEUED_LINE_COUNT)
        super().__init__(lines)
        self._lines = lines
        self._listener = QueueListener(lines, output)
        self._started = False
        self._rate_lock = threading.Lock()
        self._allowance = BURST_LINE_COUNT
        self._filled_seconds = time.monotonic()
        self._dropped_count = 0

    def start(self) -> None:
        """Start the output thread."""
        self._started = True
        self._listener.start()

    def stop(self) -> None:
        """Write what waits and end the output thread."""
        if self._started:
            self._started = False
            self._listener.stop()

    def enqueue(self, record: LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        with self._rate_lock:
            if not self._may_write():
                self._drop()
                return
            if self._dropped_count:
                record.dropped_count = self._dropped_count
            try:
                self._lines.put_nowait(record)
            except queue.Full:
                self._drop()
            else:
                self._dropped_count = 0

    def _drop(self) -> None:
        self._dropped_count += 1
        DROPPED_LOG_LINES.inc()

    def _may_write(self) -> bool:
        now = time.monotonic()
        earned = (now - self._filled_seconds) * LINES_PER_SECOND
        self._filled_seconds = now
        self._allowance = min(self._allowance + earned, BURST_LINE_COUNT)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
