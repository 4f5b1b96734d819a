"""Moves of generations that agents report to an entry."""

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from wasabistream.forwarding.move_messages import RunMoved

logger = logging.getLogger(__name__)

# Agents report moves to all entries, so moves of other entries' requests are
# recorded too; the oldest are evicted.
MAX_MOVE_COUNT = 4096
# Maximum time to wait for the final copy of a generation.
MOVE_COPY_SECONDS = 2.0
# Interval at which a wait for a move looks for the end of its request.
END_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Move:
    """A move whose outcome is not known yet."""

    # Endpoint of the engine that the generation leaves.
    source: str
    # Where it can continue if the outcome does not arrive.
    first_copy: RunMoved | None
    # Whether the link to the agent has ended, so that none will arrive.
    is_orphaned: bool = False

    @property
    def handle(self) -> str:
        """Return the handle of the first copy; empty without one."""
        return self.first_copy.handle if self.first_copy else ''


class MoveTracker:
    """Let requests wait for the destination of their moved generation."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._moving: OrderedDict[str, _Move] = OrderedDict()
        self._moved: OrderedDict[str, RunMoved] = OrderedDict()
        # Runs, with their sources, that went on from their first copy.
        self._left_runs: OrderedDict[tuple[str, str], None] = OrderedDict()

    def record_move_start(
        self, run_id: str, source: str, first_copy: RunMoved | None = None
    ) -> None:
        """Record that a generation is about to stop for its final copy."""
        with self._changed:
            self._moving[run_id] = _Move(source, first_copy)
            self._left_runs.pop((run_id, source), None)
            _trim(self._moving)
            self._changed.notify_all()

    def withdraw_move(self, run_id: str, source: str, handle: str) -> None:
        """Record that a generation is not stopped after this copy of it."""
        with self._changed:
            move = self._find_move(run_id, source)
            if move is not None and move.handle == handle:
                self._moving.pop(run_id)

    def record_move(self, notice: RunMoved) -> None:
        """Record where a generation can continue."""
        with self._changed:
            if (notice.run_id, notice.memory_endpoint) in self._left_runs:
                # It came too late: the first copy is in use.
                return
            self._moving.pop(notice.run_id, None)
            self._moved[notice.run_id] = notice
            _trim(self._moved)
            self._changed.notify_all()

    def record_lost_agent(self, source: str) -> None:
        """Expect no more outcomes of moves off an engine."""
        with self._changed:
            for run_id, move in self._moving.items():
                if move.source == source:
                    self._moving[run_id] = replace(move, is_orphaned=True)
            self._changed.notify_all()

    def has_moved(self, run_id: str) -> bool:
        """Return whether a generation can continue elsewhere."""
        return run_id in self._moved

    def wait_for_move(
        self,
        run_id: str,
        source: str,
        notice_seconds: float,
        copy_seconds: float,
        is_ended: Callable[[], bool],
    ) -> RunMoved | None:
        """Return the move of a generation off an engine, or None.

        Waits up to `notice_seconds` for the start of a move to be reported,
        and up to `copy_seconds` in all once it has been, but not once
        `is_ended` returns true. If the outcome does not arrive by then, or the
        link to the agent has ended, the generation continues from the copy that
        was made while it ran.
        """
        started = time.monotonic()
        with self._changed:
            while run_id not in self._moved:
                move = self._find_move(run_id, source)
                limit_seconds = notice_seconds if move is None else copy_seconds
                if move is not None and move.is_orphaned:
                    limit_seconds = 0
                remaining_seconds = started + limit_seconds - time.monotonic()
                if is_ended():
                    return None
                if remaining_seconds <= 0:
                    return self._take_first_copy(run_id, source)
                self._changed.wait(min(remaining_seconds, END_POLL_SECONDS))
            return self._moved.pop(run_id)

    def _find_move(self, run_id: str, source: str) -> _Move | None:
        move = self._moving.get(run_id)
        return move if move is not None and move.source == source else None

    def _take_first_copy(self, run_id: str, source: str) -> RunMoved | None:
        move = self._find_move(run_id, source)
        if move is None:
            return None
        self._moving.pop(run_id)
        if move.first_copy is None:
            return None
        logger.info(
            'move: goes on from its first copy',
            extra={
                'request_id': run_id,
                'from': move.source,
                'to': move.first_copy.endpoint,
                'is_agent_lost': move.is_orphaned,
            },
        )
        self._left_runs[run_id, move.source] = None
        _trim(self._left_runs)
        return move.first_copy


def _trim(table: OrderedDict) -> None:
    while len(table) > MAX_MOVE_COUNT:
        table.popitem(last=False)
