"""Move generations off a backend server that leaves."""

import logging
import threading
import time
from collections.abc import Callable
from typing import Protocol

from wasabistream.exceptions import BackendError
from wasabistream.forwarding.engine_states import EngineRun, EngineState
from wasabistream.forwarding.move_messages import (
    RoomQuery,
    RoomReport,
    RunMoved,
    RunMoving,
)
from wasabistream.forwarding.move_outcomes import MoveOutcome
from wasabistream.forwarding.rooms import Room, choose_room, decode_rooms
from wasabistream.messages import Message
from wasabistream.metrics import MOVES

logger = logging.getLogger(__name__)

# Entries answer within a trip inside the region.
ROOM_WAIT_SECONDS = 0.05
# Rooms are asked for again after this time.
ROOM_AGE_SECONDS = 0.3
STATE_WAIT_SECONDS = 0.03
# Generations that grow while they are copied need more than they hold.
GROWTH_TOKENS = 64


class MovableEngine(Protocol):
    """An engine whose generations can be copied to others."""

    def state(self) -> EngineState:
        """Return the engine's state; raises BackendError."""

    def move(self, run_id: str, endpoint: str, *, final: bool) -> MoveOutcome:
        """Copy a generation; with `final` it stops first."""


class RunMover:
    """Copy each generation to another engine, then let it go on there.

    The first copy is made while the generation runs; the last one carries
    only what has been made since, so that the caller sees a short pause.
    """

    def __init__(
        self,
        engine: MovableEngine,
        endpoint: str,
        data_centre: str,
        service: str,
        broadcast: Callable[[Message], None],
    ) -> None:
        self._engine = engine
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._service = service
        self._broadcast = broadcast
        self._rooms: list[Room] = []
        self._rooms_seconds = 0.0
        self._rooms_changed = threading.Event()

    def learn_rooms(self, report: RoomReport) -> None:
        """Take over the rooms that an entry lists."""
        try:
            rooms = decode_rooms(report.rows)
        except (TypeError, ValueError) as error:
            logger.warning('mover: room report is malformed: %r', error)
            return
        if len(rooms) >= len(self._rooms) or self._rooms_are_old():
            self._rooms = rooms
            self._rooms_seconds = time.monotonic()
        self._rooms_changed.set()

    def move_all(self) -> None:
        """Move generations until the engine is gone or empty."""
        retry_seconds: dict[str, float] = {}
        while True:
            try:
                state = self._engine.state()
            except BackendError as error:
                logger.info('mover: engine is gone: %s', error)
                return
            if not state.leaving:
                return
            now = time.monotonic()
            runs = [
                run
                for run in state.runs
                if retry_seconds.get(run.run_id, 0) <= now
            ]
            if not runs:
                time.sleep(STATE_WAIT_SECONDS)
                continue
            run = max(runs, key=_saved_work)
            if not self._move(run):
                retry_seconds[run.run_id] = now + ROOM_AGE_SECONDS

    def _move(self, run: EngineRun) -> bool:
        room = self._find_room(run)
        if room is None:
            logger.warning('mover: no room', extra={'request_id': run.run_id})
            return False
        started = time.monotonic()
        try:
            first = self._engine.move(run.run_id, room.endpoint, final=False)
            if not first.copied:
                self._log(run, room, first, started)
                room.free_tokens = 0
                # A generation that has ended meanwhile is no failure.
                return first.no_room
            self._broadcast(RunMoving(run.run_id))
            last = self._engine.move(run.run_id, room.endpoint, final=True)
        except BackendError as error:
            logger.warning('mover: %s', error, extra={'request_id': run.run_id})
            return False
        self._log(run, room, last, started)
        if last.handle:
            target = room.endpoint if last.copied else self._endpoint
            self._broadcast(
                RunMoved(run.run_id, target, self._endpoint, last.handle)
            )
        return last.copied

    def _find_room(self, run: EngineRun) -> Room | None:
        if self._rooms_are_old():
            self._rooms_changed.clear()
            self._broadcast(RoomQuery(self._service))
            self._rooms_changed.wait(ROOM_WAIT_SECONDS)
        return choose_room(
            self._rooms, self._data_centre, run.memory_tokens + GROWTH_TOKENS
        )

    def _rooms_are_old(self) -> bool:
        return time.monotonic() - self._rooms_seconds > ROOM_AGE_SECONDS

    def _log(
        self, run: EngineRun, room: Room, outcome: MoveOutcome, started: float
    ) -> None:
        MOVES.labels('moved' if outcome.copied else 'not_moved').inc()
        logger.info(
            'mover: moved' if outcome.copied else 'mover: not moved',
            extra={
                'request_id': run.run_id,
                'to': room.endpoint,
                'memory_tokens': run.memory_tokens,
                'event_count': run.event_count,
                'status': outcome.status,
                'seconds': round(time.monotonic() - started, 4),
            },
        )


def _saved_work(run: EngineRun) -> int:
    """Return what is lost when a generation can not be moved."""
    return run.event_count
