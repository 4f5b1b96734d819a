"""Limit on the time of a stop."""

import logging
import os
import sys
import threading
import time
import traceback
from collections.abc import Callable

from wasabistream.log_queues import BoundedLogHandler

logger = logging.getLogger(__name__)

# Time for the output thread to write the last lines.
LAST_LINES_SECONDS = 0.05
STACK_FRAME_COUNT = 3


def limit_stop(
    seconds: float,
    exit_code: int,
    work_in_progress: Callable[[], list[str]],
) -> None:
    """End the process after some seconds, whatever its threads wait for.

    A thread that the stop or the interpreter joins may wait for a peer or for
    the reader of the log.
    """
    timer = threading.Timer(
        seconds, _end_process, (seconds, exit_code, work_in_progress)
    )
    timer.daemon = True
    timer.start()


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


def _end_process(
    seconds: float,
    exit_code: int,
    work_in_progress: Callable[[], list[str]],
) -> None:
    try:
        _log_requests(work_in_progress())
        _log_threads(seconds)
    finally:
        os._exit(exit_code)


def _log_requests(request_ids: list[str]) -> None:
    for request_id in request_ids:
        logger.error(
            'stop: request has no whole answer',
            extra={'request_id': request_id},
        )


def _log_threads(seconds: float) -> None:
    frames = sys._current_frames()
    for thread in threading.enumerate():
        frame = frames.get(thread.ident or 0)
        if not thread.daemon and frame is not None:
            logger.error(
                'stop: not done after %.2f s, a thread still runs',
                seconds,
                extra={
                    'held_by': thread.name,
                    'stack': traceback.format_stack(frame, STACK_FRAME_COUNT),
                },
            )
    time.sleep(LAST_LINES_SECONDS)
