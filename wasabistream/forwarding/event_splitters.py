"""Splitting of a byte stream into whole server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

from wasabistream.exceptions import BackendError

EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
# Bounds the buffer; an event of a few tokens is far shorter.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one whole event with its bytes as received."""

    # Empty if the event has no id.
    event_id: str
    raw: bytes


class EventSplitter:
    """Buffer received bytes and yield the events that they complete."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._pending)

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield the events that a piece of the stream completes.

        Raises BackendError when an event exceeds the buffer limit.
        """
        self._pending += piece
        if len(self._pending) > MAX_EVENT_BYTES:
            raise BackendError('event is too long', 'events')
        while True:
            end = _event_end(self._pending)
            if not end:
                return
            raw = self._pending[:end]
            self._pending = self._pending[end:]
            yield StreamEvent(_event_id(raw), raw)


def _event_end(pending: bytes) -> int:
    ends = []
    for terminator in EVENT_TERMINATORS:
        position = pending.find(terminator)
        if position >= 0:
            ends.append(position + len(terminator))
    return min(ends, default=0)


def _event_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line.removeprefix(ID_FIELD).strip().decode('latin-1')
    return ''
