"""Finder of room for generations that have to move."""

import logging
import threading
import time
from collections.abc import Callable

from wasabistream.forwarding.engine_states import EngineRun
from wasabistream.forwarding.move_messages import RoomQuery, RoomReport
from wasabistream.forwarding.rooms import Room, choose_room, decode_rooms
from wasabistream.messages import Message

logger = logging.getLogger(__name__)

# Entries answer within a trip inside the region.
ROOM_WAIT_SECONDS = 0.05
# Rooms are asked for again after this time.
ROOM_AGE_SECONDS = 0.3


class RoomFinder:
    """Ask the entries which engines have room and use it up."""

    def __init__(
        self,
        service: str,
        data_centre: str,
        broadcast: Callable[[Message], None],
    ) -> None:
        self._service = service
        self._data_centre = data_centre
        self._broadcast = broadcast
        self._rooms: list[Room] = []
        self._learnt_seconds = 0.0
        self._changed = threading.Event()

    def learn(self, report: RoomReport) -> None:
        """Take over the rooms that an entry lists."""
        try:
            rooms = decode_rooms(report.rows)
        except (TypeError, ValueError) as error:
            logger.warning('mover: room report is malformed: %r', error)
            return
        if len(rooms) >= len(self._rooms) or self._is_old():
            self._rooms = rooms
            self._learnt_seconds = time.monotonic()
        self._changed.set()

    def is_far(self, room: Room) -> bool:
        """Tell whether a room is in another data centre."""
        return room.data_centre != self._data_centre

    def find(
        self, run: EngineRun, reserve_tokens: int, *, may_go_far: bool
    ) -> Room | None:
        """Return room for a generation that leaves a reserve free."""
        if self._is_old():
            self._changed.clear()
            self._broadcast(RoomQuery(self._service))
            self._changed.wait(ROOM_WAIT_SECONDS)
        return choose_room(
            self._rooms,
            self._data_centre,
            run.memory_tokens + reserve_tokens,
            may_go_far=may_go_far,
        )

    def _is_old(self) -> bool:
        return time.monotonic() - self._learnt_seconds > ROOM_AGE_SECONDS
