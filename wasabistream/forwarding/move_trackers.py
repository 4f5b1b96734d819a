"""Moves of generations that agents report to an entry."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from wasabistream.forwarding.move_messages import RunMoved

# Agents report moves to all entries, so moves of other entries' requests are
# recorded too; the oldest are evicted.
MAX_MOVE_COUNT = 4096
# Maximum time to wait for the final copy of a generation.
MOVE_COPY_SECONDS = 2.0
# Interval at which a wait for a move looks for the end of its request.
END_POLL_SECONDS = 0.1


class MoveTracker:
    """Let requests wait for the destination of their moved generation."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._moving: OrderedDict[str, None] = OrderedDict()
        self._moved: OrderedDict[str, RunMoved] = OrderedDict()

    def record_move_start(self, run_id: str) -> None:
        """Record that a generation is about to stop for its final copy."""
        with self._changed:
            self._moving[run_id] = None
            _trim(self._moving)
            self._changed.notify_all()

    def record_move(self, notice: RunMoved) -> None:
        """Record where a generation can continue."""
        with self._changed:
            self._moving.pop(notice.run_id, None)
            self._moved[notice.run_id] = notice
            _trim(self._moved)
            self._changed.notify_all()

    def is_moving(self, run_id: str) -> bool:
        """Return whether a generation is about to stop, or has stopped."""
        return run_id in self._moving or run_id in self._moved

    def has_moved(self, run_id: str) -> bool:
        """Return whether a generation can continue elsewhere."""
        return run_id in self._moved

    def wait_for_move(
        self,
        run_id: str,
        notice_seconds: float,
        copy_seconds: float,
        is_ended: Callable[[], bool],
    ) -> RunMoved | None:
        """Return the move of a generation, or None after a timeout.

        Waits up to `notice_seconds` for the start of a move to be reported,
        and up to `copy_seconds` in all once it has been, but not once
        `is_ended` returns true.
        """
        started = time.monotonic()
        with self._changed:
            while run_id not in self._moved:
                is_moving = run_id in self._moving
                limit_seconds = copy_seconds if is_moving else notice_seconds
                remaining_seconds = started + limit_seconds - time.monotonic()
                if remaining_seconds <= 0 or is_ended():
                    return None
                self._changed.wait(min(remaining_seconds, END_POLL_SECONDS))
            return self._moved.pop(run_id)


def _trim(table: OrderedDict) -> None:
    while len(table) > MAX_MOVE_COUNT:
        table.popitem(last=False)
