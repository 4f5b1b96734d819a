"""Base class of the daemons, with life-cycle hooks."""

import logging
import queue
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from types import FrameType

from wasabistream.allocators import return_freed_memory
from wasabistream.settings import ProcessSettings
from wasabistream.stop_limits import StopLimit, StopTimes, arm_process_end

logger = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
# The drain ended with requests in progress, which are cut off.
EXIT_CUT = 3

DRAIN_POLL_SECONDS = 0.05
# A signal that the kernel gives to another thread does not wake the main thread,
# which runs the handlers.
SIGNAL_POLL_SECONDS = 0.2

# Time for the report of a stop that has reached its limit.
STOP_REPORT_SECONDS = 0.3

# Reasons for the end of a drain, as logged.
DRAIN_IDLE = 'idle'
DRAIN_SIGNAL = 'signal'
DRAIN_LIMIT = 'limit'


class Application:
    """Run one daemon from its start to the end of its drain.

    Subclasses override the hooks `on_start`, `on_drain`, `on_close`, `on_cut`
    and `on_stop` and the methods that describe the drain.
    """

    process_role = 'process'

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.draining = False
        self._signal_count = 0
        # No signal had come at this time; the first came after it. Its handler
        # may run much later on a busy machine.
        self._unsignalled_at_seconds: float | None = None
        self._signalled_at_seconds: float | None = None
        # Whether the process ends even if its interpreter is held.
        self._is_end_armed = False
        self._stop_limit = StopLimit(EXIT_CUT, self.work_in_progress)
        # Signals after the first that end the drain early.
        self._ending_signal_count = 0
        # Monotonic time at which the drain ends, once it has begun.
        self._drain_deadline_seconds: float | None = None
        # Handlers of signals may interrupt one another and any wait of the main
        # thread; the lock of an event would make them wait for themselves.
        self._signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def on_start(self) -> None:
        """Open sockets and start threads."""

    def on_drain(self) -> None:
        """React to the start of the drain, for example by refusing work."""

    def on_close(self) -> None:
        """Take no more work; what has arrived becomes work in progress."""

    def on_cut(self) -> None:
        """End the work in progress, with answers where possible."""

    def on_stop(self) -> None:
        """Close sockets and stop threads."""

    def ends_drain(self, signal_number: int) -> bool:
        """Return whether a repeated signal ends the drain."""
        return True

    def drain_notice_seconds(self) -> float:
        """Return the minimum duration of a drain.

        Callers that have not noticed the drain may still send work in it.
        """
        return 0

    def stop_limit_seconds(self) -> float:
        """Return the longest time from the signal to the exit, 0 for none."""
        return 0

    def stop_report_seconds(self) -> float:
        """Return the time from that limit until the process is ended."""
        return STOP_REPORT_SECONDS

    def last_answers_seconds(self) -> float:
        """Return the time for the answers of work that is cut."""
        return 0

    def work_in_progress(self) -> list[str]:
        """Return the ids of requests in progress."""
        return []

    def remaining_drain_seconds(self) -> float:
        """Return the time until the end of the drain, which may be over."""
        deadline = self._drain_deadline_seconds
        if deadline is None:
            return self.settings.drain_limit_seconds
        return deadline - time.monotonic()

    def run(self) -> int:
        """Run until a signal arrives and return the exit code."""
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)
        return_freed_memory()
        if self._stop_times() is not None:
            self._stop_limit.start()
        self.on_start()
        logger.info('%s: started', self.process_role)
        self._wait_for_signal()
        return self.drain()

    def drain(self) -> int:
        """Wait for the work in progress, then stop; return the exit code.

        A second signal ends the wait if `ends_drain` says so.
        """
        self.draining = True
        logger.info('%s: draining', self.process_role)
        now = time.monotonic()
        self._limit_stop(now)
        signalled = self._signalled_at_seconds
        started = now if signalled is None else signalled
        deadline = started + self.settings.drain_limit_seconds
        self._drain_deadline_seconds = deadline
        self.on_drain()
        reason = self._wait_for_work(
            now + self.drain_notice_seconds(), deadline
        )
        is_idle = reason == DRAIN_IDLE
        if is_idle:
            self.on_close()
            # What arrived until the close has the rest of the drain.
            reason = self._wait_for_work(0, deadline)
        cut = self.work_in_progress()
        seconds = time.monotonic() - started
        if cut:
            self.on_cut()
        # After the cut, as the lines of many requests take a while.
        self._report_drain(reason, seconds, cut)
        if not is_idle:
            # After the cut, as the close may take a while.
            self.on_close()
        self._wait_for_answers()
        self.on_stop()
        logger.info(
            '%s: stopped with %d requests cut', self.process_role, len(cut)
        )
        return EXIT_CUT if cut else EXIT_DONE

    def stop_part(self, name: str, stop: Callable[[], None]) -> None:
        """Stop a part of the process and log how long that took."""
        started_seconds = time.monotonic()
        stop()
        logger.info(
            '%s: part stopped',
            self.process_role,
            extra={
                'part': name,
                'seconds': round(time.monotonic() - started_seconds, 3),
            },
        )

    def request_stop(self, signal_number: int = signal.SIGTERM) -> None:
        """Ask `run` to drain and stop, as a signal does."""
        self._signal_count += 1
        if self._signal_count > 1 and self.ends_drain(signal_number):
            self._ending_signal_count += 1
        self._signals.put(signal_number)

    def _stop_times(self) -> StopTimes | None:
        limit_seconds = self.stop_limit_seconds()
        if not limit_seconds:
            return None
        return StopTimes(limit_seconds, self.stop_report_seconds())

    def _arm_end(self, passed_seconds: float) -> None:
        times = self._stop_times()
        if times is not None:
            self._is_end_armed = arm_process_end(times.after(passed_seconds))

    def _limit_stop(self, now: float) -> None:
        times = self._stop_times()
        if times is None:
            return
        if self._signalled_at_seconds is None:
            self._arm_end(0)
        else:
            times = times.after(now - self._signalled_at_seconds)
        if not self._is_end_armed:
            logger.warning(
                '%s: no thread ends a stop that hangs', self.process_role
            )
        self._stop_limit.set(times)

    def _wait_for_signal(self) -> None:
        while not self._signal_count:
            self._unsignalled_at_seconds = time.monotonic()
            # The handlers run between two waits.
            with suppress(queue.Empty):
                self._signals.get(timeout=SIGNAL_POLL_SECONDS)

    def _report_drain(
        self, reason: str, seconds: float, cut: list[str]
    ) -> None:
        logger.info(
            '%s: drain ended',
            self.process_role,
            extra={
                'reason': reason,
                'seconds': round(seconds, 3),
                'signal_count': self._signal_count,
                'in_progress_count': len(cut),
            },
        )
        for request_id in cut:
            logger.warning(
                '%s: request cut',
                self.process_role,
                extra={'request_id': request_id},
            )

    def _wait_for_work(self, earliest_end: float, deadline: float) -> str:
        """Wait until no work is in progress; return what ended the wait."""
        while time.monotonic() < deadline:
            if self._ending_signal_count:
                return DRAIN_SIGNAL
            if time.monotonic() >= earliest_end and not self.work_in_progress():
                return DRAIN_IDLE
            time.sleep(DRAIN_POLL_SECONDS)
        return DRAIN_LIMIT

    def _wait_for_answers(self) -> None:
        deadline = time.monotonic() + self.last_answers_seconds()
        while time.monotonic() < deadline and self.work_in_progress():
            time.sleep(DRAIN_POLL_SECONDS)

    def _handle_signal(self, number: int, frame: FrameType | None) -> None:
        if self._signalled_at_seconds is None:
            now = time.monotonic()
            unsignalled = self._unsignalled_at_seconds
            self._signalled_at_seconds = (
                now if unsignalled is None else unsignalled
            )
            # First of all, also if the start has not come to its end.
            self._arm_end(now - self._signalled_at_seconds)
        self.request_stop(number)
