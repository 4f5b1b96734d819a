"""Splitting of a byte stream into whole server-sent events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from wasabistream.exceptions import BackendError

EVENT_END = re.compile(rb'\n\r?\n')
# Bytes of an end that earlier pieces may have brought already.
EVENT_END_OVERLAP_BYTES = 2
ID_FIELD = b'id:'
COMMENT_PREFIX = b':'
# Bounds the buffer; an event of a few tokens is far shorter.
MAX_EVENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one whole event with its bytes as received."""

    # Empty if the event has no id.
    event_id: str
    raw: bytes
    # True if the event holds only comments, which keep a connection open.
    is_comment: bool = False


class EventSplitter:
    """Buffer received bytes and yield the events that they complete."""

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._pending)

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield the events that a piece of the stream completes.

        Raises BackendError when an event exceeds the buffer limit.
        """
        # Bytes that were searched before are not searched again.
        searched = max(len(self._pending) - EVENT_END_OVERLAP_BYTES, 0)
        self._pending += piece
        start = 0
        while found := EVENT_END.search(self._pending, searched):
            raw = bytes(self._pending[start : found.end()])
            start = found.end()
            searched = start
            yield _build_event(raw)
        self._pending = self._pending[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise BackendError('event is too long', 'events')


def _build_event(raw: bytes) -> StreamEvent:
    event_id = ''
    is_comment = True
    for line in raw.splitlines():
        if line.startswith(ID_FIELD) and not event_id:
            event_id = line.removeprefix(ID_FIELD).strip().decode('latin-1')
        if line and not line.startswith(COMMENT_PREFIX):
            is_comment = False
    return StreamEvent(event_id, raw, is_comment)
