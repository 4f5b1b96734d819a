"""Bounded buffer of the events of one stream."""

from collections import deque

from wasabistream.messages import Message
from wasabistream.requests import Failed, Finished, Token


class StreamBuffer:
    """Keep the last events of a stream so that a caller can resume."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._texts: deque[str] = deque()
        self._first_index = 0
        self._finish_reason = ''
        self._failure: tuple[str, str] | None = None

    @property
    def next_index(self) -> int:
        """Return the index of the next token."""
        return self._first_index + len(self._texts)

    def append(self, text: str) -> int:
        """Add a token and return its index."""
        index = self.next_index
        self._texts.append(text)
        self._held_bytes += len(text)
        while self._held_bytes > self._limit_bytes:
            self._held_bytes -= len(self._texts.popleft())
            self._first_index += 1
        return index

    def finish(self, finish_reason: str) -> None:
        """Mark the stream as complete."""
        self._finish_reason = finish_reason

    def fail(self, outcome: str, reason: str) -> None:
        """Mark the stream as broken."""
        self._failure = (outcome, reason)

    def read(self, request_id: str, next_index: int) -> list[Message] | None:
        """Return the events from an index on, or None when dropped."""
        if not self._first_index <= next_index <= self.next_index:
            return None
        events: list[Message] = [
            Token(request_id, index, self._texts[index - self._first_index])
            for index in range(next_index, self.next_index)
        ]
        if self._failure:
            outcome, reason = self._failure
            events.append(Failed(request_id, outcome, reason, self.next_index))
        elif self._finish_reason:
            events.append(
                Finished(request_id, self.next_index, self._finish_reason)
            )
        return events
