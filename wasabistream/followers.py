"""Followers of attempts."""

import threading
from collections.abc import Callable
from typing import Protocol

from wasabistream.answers import AnswerWriter
from wasabistream.exceptions import RefusedError
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import (
    Accepted,
    Answer,
    Failed,
    Finished,
    Refused,
    Token,
)


class StreamAnswerWriter(AnswerWriter, Protocol):
    """Write one answer and name its stream."""

    stream_id: str


EndHandler = Callable[['GenerationFollower', RefusedError | None], None]


class GenerationFollower:
    """Write the events of one generation to its caller, each once."""

    def __init__(
        self,
        writer: StreamAnswerWriter,
        on_end: EndHandler,
        next_index: int = 0,
    ) -> None:
        self.writer = writer
        self.next_index = next_index
        self._on_end = on_end
        self._decided = threading.Event()
        self._ended = False
        self.failure: RefusedError | None = None

    def wait_decided(self, timeout_seconds: float) -> bool:
        """Wait until the gate accepted or refused the attempt."""
        return self._decided.wait(timeout_seconds)

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""
        match message:
            case Token():
                self._token(message)
            case Accepted():
                self.writer.stream_id = message.stream_id
                self._decided.set()
            case Finished():
                self._finish(message)
            case Refused():
                self._end(
                    RefusedError(
                        message.reason,
                        Outcome(message.outcome),
                        retry_after_seconds=message.retry_after_seconds,
                    )
                )
            case Failed():
                self._end(
                    RefusedError(message.reason, Outcome(message.outcome))
                )

    def on_lost(self, reason: str) -> None:
        """End an attempt whose link ended."""
        self._end(RefusedError('link_lost', Outcome.unknown))

    def _token(self, token: Token) -> None:
        if self._ended or token.index < self.next_index:
            return
        if token.index > self.next_index:
            self._end(RefusedError('token_gap', Outcome.run))
            return
        self.next_index += 1
        self.writer.token(token.index, token.text)

    def _finish(self, finished: Finished) -> None:
        if self._ended:
            return
        if finished.token_count != self.next_index:
            self._end(RefusedError('token_gap', Outcome.run))
            return
        self.writer.finish(finished.finish_reason)
        self._end(None)

    def _end(self, failure: RefusedError | None) -> None:
        if self._ended:
            return
        self._ended = True
        self.failure = failure
        self._decided.set()
        self._on_end(self, failure)


class CallFollower:
    """Wait for the answer of one call."""

    def __init__(self) -> None:
        self._replied = threading.Event()
        self._reply: Message | None = None

    def on_message(self, message: Message) -> None:
        """Keep the reply."""
        self._reply = message
        self._replied.set()

    def on_lost(self, reason: str) -> None:
        """Treat the answer as lost."""
        self._reply = Failed('', Outcome.unknown, 'link_lost')
        self._replied.set()

    def wait_answer(self, timeout_seconds: float) -> Answer:
        """Return the answer; raises RefusedError."""
        self._replied.wait(timeout_seconds)
        match self._reply:
            case Answer() as answer:
                return answer
            case Refused() as refused:
                raise RefusedError(
                    refused.reason,
                    Outcome(refused.outcome),
                    retry_after_seconds=refused.retry_after_seconds,
                )
            case Failed() as failed:
                raise RefusedError(failed.reason, Outcome(failed.outcome))
        raise RefusedError('timeout', Outcome.unknown)
