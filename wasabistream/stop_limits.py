"""Limit on the time of a stop."""

import faulthandler
import logging
import os
import queue
import sys
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType

from wasabistream.log_queues import BoundedLogHandler

logger = logging.getLogger(__name__)

# Time for the output thread to write the last lines.
LAST_LINES_SECONDS = 0.05
STACK_FRAME_COUNT = 3
# Threads that stand at the same place share a line.
MAX_STACK_COUNT = 10
# Part of the time between the limit and the end without the interpreter. The
# report takes as long ahead of the limit, so that it delays neither.
REPORT_LINES_RATIO = 0.5
# Long enough for the report to be made without a change of threads, which may
# take longer than the report on a busy machine.
REPORT_SWITCH_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Hold the times of a stop, from its signal on."""

    # Until the process, which has reported what it waits for, ends itself.
    limit_seconds: float
    # From then until it ends without its interpreter.
    report_seconds: float

    def after(self, seconds: float) -> 'StopTimes':
        """Return the times that are left some seconds after the signal."""
        return StopTimes(
            max(self.limit_seconds - seconds, 0), self.report_seconds
        )


def arm_process_end(times: StopTimes) -> bool:
    """End the process after the limit and the report, with exit code 1.

    Returns whether that is possible. The thread that ends the process needs no
    lock of the interpreter; it writes stacks to a pipe that takes some of them
    and never blocks. Handlers of signals call this, so it writes no log lines.
    """
    try:
        _, unread = os.pipe()
        os.set_blocking(unread, False)
        faulthandler.dump_traceback_later(
            times.limit_seconds + times.report_seconds, exit=True, file=unread
        )
    except (OSError, RuntimeError):
        return False
    return True


@dataclass(frozen=True, slots=True)
class _Report:
    """Hold the times of the report of one stop."""

    # Since the limit was set.
    stop_seconds: float
    begin_seconds: float
    lines_end_seconds: float


class StopLimit:
    """Report and end the process at its limit, whatever its threads wait for.

    A thread that the stop or the interpreter joins may wait for a peer or for
    the reader of the log. The threads for it are started before the stop, as
    whoever starts one waits until it has had processor time. The one that ends
    the process does nothing else: a report may wait for a lock or for its turn.
    """

    def __init__(
        self, exit_code: int, work_in_progress: Callable[[], list[str]]
    ) -> None:
        self._exit_code = exit_code
        self._work_in_progress = work_in_progress
        self._is_started = False
        # Neither side waits for a lock that a thread without processor time has.
        self._ends: queue.SimpleQueue[float] = queue.SimpleQueue()
        self._reports: queue.SimpleQueue[_Report] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the threads, unless they run."""
        if self._is_started:
            return
        try:
            for name, run in (
                ('stop limit', self._end_process),
                ('stop report', self._report),
            ):
                threading.Thread(target=run, name=name, daemon=True).start()
        except RuntimeError as error:
            logger.warning('stop: its limit is not reported: %s', error)
        else:
            self._is_started = True

    def set(self, times: StopTimes) -> None:
        """Set the limit of a stop, whose times count from now."""
        self.start()
        now = time.monotonic()
        limit_at_seconds = now + times.limit_seconds
        self._ends.put(limit_at_seconds)
        lines_end_seconds = limit_at_seconds - LAST_LINES_SECONDS
        begin_seconds = (
            lines_end_seconds - times.report_seconds * REPORT_LINES_RATIO
        )
        self._reports.put(
            _Report(begin_seconds - now, begin_seconds, lines_end_seconds)
        )

    def _end_process(self) -> None:
        _sleep_until(self._ends.get())
        os._exit(self._exit_code)

    def _report(self) -> None:
        report = self._reports.get()
        _sleep_until(report.begin_seconds)
        switch_seconds = sys.getswitchinterval()
        sys.setswitchinterval(REPORT_SWITCH_SECONDS)
        try:
            # The requests last, as their locks may be held.
            _log_threads(report.stop_seconds)
            _log_requests(self._work_in_progress(), report.lines_end_seconds)
        finally:
            sys.setswitchinterval(switch_seconds)


def end_process(exit_code: int) -> None:
    """End the process at once, after its log lines are written.

    The interpreter's own shutdown joins threads and takes over a second on a
    busy machine, longer than the platform gives.
    """
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedLogHandler):
            handler.stop()
    sys.stdout.flush()
    os._exit(exit_code)


def _sleep_until(monotonic_seconds: float) -> None:
    time.sleep(max(monotonic_seconds - time.monotonic(), 0))


def _log_requests(request_ids: list[str], deadline: float) -> None:
    for position, request_id in enumerate(request_ids):
        if time.monotonic() > deadline:
            logger.error(
                'stop: requests without a whole answer are not all named',
                extra={'omitted_count': len(request_ids) - position},
            )
            return
        logger.error(
            'stop: request has no whole answer',
            extra={'request_id': request_id},
        )


def _log_threads(seconds: float) -> None:
    names_by_stack = _group_threads()
    for stack, names in list(names_by_stack.items())[:MAX_STACK_COUNT]:
        logger.error(
            'stop: not done after %.2f s, a thread still runs',
            seconds,
            extra={
                'held_by': names[0],
                'thread_count': len(names),
                'stack': stack,
            },
        )


def _group_threads() -> dict[tuple[str, ...], list[str]]:
    """Return the names of the threads that hold the process, by stack."""
    frames = sys._current_frames()
    names_by_stack: dict[tuple[str, ...], list[str]] = defaultdict(list)
    for thread in threading.enumerate():
        frame = frames.get(thread.ident or 0)
        if not thread.daemon and frame is not None:
            names_by_stack[_describe_stack(frame)].append(thread.name)
    return names_by_stack


def _describe_stack(frame: FrameType) -> tuple[str, ...]:
    """Return the innermost calls; source lines would have to be read."""
    calls: list[str] = []
    caller: FrameType | None = frame
    while caller is not None and len(calls) < STACK_FRAME_COUNT:
        code = caller.f_code
        calls.append(f'{code.co_filename}:{caller.f_lineno} {code.co_name}')
        caller = caller.f_back
    return tuple(reversed(calls))
