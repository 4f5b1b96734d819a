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


class BoundedLogHandler(QueueHandler):
    """Pass lines to the output thread; drop them rather than block.

    `dropped_count` of the next written line says how many were dropped.
    """

    def __init__(self, output: Handler) -> None:
        lines: queue.Queue[LogRecord] = queue.Queue(MAX_QUEUED_LINE_COUNT)
        super().__init__(lines)
        self._lines = lines
        self._listener = QueueListener(lines, output)
        self._started = False
        self._rate_lock = threading.Lock()
        self._available_line_count = BURST_LINE_COUNT
        self._refilled_seconds = time.monotonic()
        self._dropped_count = 0

    def start(self) -> None:
        """Start the output thread."""
        self._started = True
        self._listener.start()

    def stop(self) -> None:
        """Write the queued lines and end the output thread."""
        if self._started:
            self._started = False
            self._listener.stop()

    def enqueue(self, record: LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        with self._rate_lock:
            if not self._try_take_allowance():
                self._record_drop()
                return
            if self._dropped_count:
                record.dropped_count = self._dropped_count
            try:
                self._lines.put_nowait(record)
            except queue.Full:
                self._record_drop()
            else:
                self._dropped_count = 0

    def _record_drop(self) -> None:
        self._dropped_count += 1
        DROPPED_LOG_LINES.inc()

    def _try_take_allowance(self) -> bool:
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
