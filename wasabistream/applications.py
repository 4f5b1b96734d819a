"""Base application with life-cycle hooks."""

import logging
import signal
import threading
import time
from types import FrameType

from wasabistream.settings import ProcessSettings

logger = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_CUT = 3

DRAIN_POLL_SECONDS = 0.05


class Application:
    """Run one process from start to drain.

    Subclasses fill the hooks `on_start`, `on_drain` and `on_stop` and count
    the work in progress.
    """

    process_role = 'process'

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.draining = False
        self._signals_seen = 0
        self._wake = threading.Event()

    def on_start(self) -> None:
        """Open sockets and start threads."""

    def on_drain(self) -> None:
        """Refuse new work."""

    def on_stop(self) -> None:
        """Close sockets and stop threads."""

    def drain_notice_seconds(self) -> float:
        """Return how long a drain lasts even without work in progress."""
        return 0

    def work_in_progress(self) -> list[str]:
        """Return the ids of requests in progress."""
        return []

    def run(self) -> int:
        """Run until a signal arrives and return the exit code."""
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)
        self.on_start()
        logger.info('%s: started', self.process_role)
        self._wait_signal(1)
        return self.drain()

    def drain(self) -> int:
        """Wait for the work in progress, then stop."""
        self.draining = True
        logger.info('%s: draining', self.process_role)
        self.on_drain()
        started = time.monotonic()
        notice_end = started + self.drain_notice_seconds()
        deadline = started + self.settings.drain_limit_seconds
        while time.monotonic() < deadline:
            if time.monotonic() >= notice_end and not self.work_in_progress():
                break
            if self._signals_seen > 1:
                break
            time.sleep(DRAIN_POLL_SECONDS)
        cut = self.work_in_progress()
        for request_id in cut:
            logger.warning(
                '%s: request cut',
                self.process_role,
                extra={'request_id': request_id},
            )
        self.on_stop()
        logger.info(
            '%s: stopped with %d requests cut', self.process_role, len(cut)
        )
        return EXIT_CUT if cut else EXIT_DONE

    def request_stop(self) -> None:
        """Act as if a signal had arrived."""
        self._signals_seen += 1
        self._wake.set()

    def _handle_signal(self, number: int, frame: FrameType | None) -> None:
        self.request_stop()

    def _wait_signal(self, count: int) -> None:
        while self._signals_seen < count:
            self._wake.wait(1)
