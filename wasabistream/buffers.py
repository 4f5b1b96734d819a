"""Bounded buffer of the events of one stream, for resumes."""

import itertools
import sys
from collections import deque

from wasabistream.messages import Message
from wasabistream.requests import Failed, Finished, Tokens

# Most tokens in one message of a replay. One message for each token could fill
# the send queue of the link.
REPLAY_MESSAGE_TOKEN_COUNT = 256


class StreamBuffer:
    """Keep the latest events of a stream so that a caller can resume it."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._buffered_bytes = 0
        self._texts: deque[str] = deque()
        self._first_index = 0
        self._finish_reason = ''
        self._failure: tuple[str, str] | None = None

    @property
    def next_index(self) -> int:
        """Return the index of the next token."""
        return self._first_index + len(self._texts)

    def append(self, text: str) -> int:
        """Append a token and return its index."""
        index = self.next_index
        self._texts.append(text)
        # The overhead of a short `str` object exceeds its characters, so it is
        # counted too.
        self._buffered_bytes += sys.getsizeof(text)
        while self._buffered_bytes > self._limit_bytes:
            self._buffered_bytes -= sys.getsizeof(self._texts.popleft())
            self._first_index += 1
        return index

    def finish(self, finish_reason: str) -> None:
        """Mark the stream as complete."""
        self._finish_reason = finish_reason

    def fail(self, outcome: str, reason: str) -> None:
        """Mark the stream as failed."""
        self._failure = (outcome, reason)

    def read(self, request_id: str, from_index: int) -> list[Message] | None:
        """Return the events from an index on; None if it is not buffered.

        The request id is the one under which the subscriber expects them; it
        changes when a caller resumes the stream.
        """
        if not self._first_index <= from_index <= self.next_index:
            return None
        events: list[Message] = [
            Tokens(request_id, index, self._read_texts(index))
            for index in range(
                from_index, self.next_index, REPLAY_MESSAGE_TOKEN_COUNT
            )
        ]
        if self._failure:
            outcome, reason = self._failure
            events.append(Failed(request_id, outcome, reason, self.next_index))
        elif self._finish_reason:
            events.append(
                Finished(request_id, self.next_index, self._finish_reason)
            )
        return events

    def _read_texts(self, index: int) -> list[str]:
        start = index - self._first_index
        return list(
            itertools.islice(
                self._texts, start, start + REPLAY_MESSAGE_TOKEN_COUNT
            )
        )
