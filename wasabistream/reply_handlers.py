"""Handlers of the messages that an entry gets about its attempts."""

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from wasabistream.answers import AnswerWriter
from wasabistream.exceptions import AttemptError
from wasabistream.limited_responses import FINAL_STATUSES
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome
from wasabistream.requests import (
    Accepted,
    Failed,
    Finished,
    Refused,
    ServiceAnswer,
    Token,
)

logger = logging.getLogger(__name__)


class StreamAnswerWriter(AnswerWriter, Protocol):
    """Write one answer and include the id of its stream."""

    stream_id: str


EndHandler = Callable[['GenerationReplyHandler', AttemptError | None], None]


class GenerationReplyHandler:
    """Write the tokens of one attempt to its caller, each once and in order.

    Messages arrive on the thread of the links. At the same time the
    sending thread may withdraw the attempt, and the thread of the links
    may drop it because its deadline has passed. Under the lock only the first
    end counts, and no token is written after it.
    """

    def __init__(
        self,
        writer: StreamAnswerWriter,
        on_end: EndHandler,
        next_index: int = 0,
    ) -> None:
        self.writer = writer
        self.next_index = next_index
        self._on_end = on_end
        self._lock = threading.Lock()
        self._admission_replied = threading.Event()
        self._ended = threading.Event()
        self._accepted = False
        self._withdrawn = False
        self.failure: AttemptError | None = None

    @property
    def ended(self) -> bool:
        """Tell whether the attempt has ended."""
        return self._ended.is_set()

    def wait_admission_reply(self, timeout_seconds: float) -> bool:
        """Wait until the attempt was accepted or refused, or has ended."""
        return self._admission_replied.wait(timeout_seconds)

    def wait_ended(self, timeout_seconds: float) -> bool:
        """Wait until the attempt has ended."""
        return self._ended.wait(timeout_seconds)

    def withdraw(self) -> bool:
        """Ignore all later messages of the attempt except its end.

        Returns False if the gate has replied already. Tokens that still
        arrive are dropped, because the agent cancels the generation.
        """
        with self._lock:
            if self._accepted or self.ended:
                return False
            self._withdrawn = True
            return True

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""
        match message:
            case Token():
                self._on_token(message)
            case Accepted():
                self._on_accepted(message)
            case Finished():
                self._on_finished(message)
            case Refused():
                self.end(
                    AttemptError(
                        message.reason,
                        Outcome(message.outcome),
                        retry_after_seconds=message.retry_after_seconds,
                    )
                )
            case Failed():
                self.end(AttemptError(message.reason, Outcome(message.outcome)))

    def on_link_lost(self, reason: str) -> None:
        """End the attempt because its link ended; the outcome is unknown."""
        self.end(AttemptError('link_lost', Outcome.unknown))

    def on_cut(self, failure: AttemptError) -> None:
        """End the attempt because this process stops."""
        self.end(failure)

    def end(self, failure: AttemptError | None) -> bool:
        """End the attempt and notify the sender; tell whether it was open."""
        with self._lock:
            if self.ended:
                return False
            self._set_ended(failure)
        self._on_end(self, failure)
        return True

    def _on_accepted(self, accepted: Accepted) -> None:
        with self._lock:
            if self._withdrawn or self.ended:
                return
            self._accepted = True
            self.writer.stream_id = accepted.stream_id
        self._admission_replied.set()

    def _on_token(self, token: Token) -> None:
        with self._lock:
            if self.ended or self._withdrawn or token.index < self.next_index:
                return
            complete = token.index == self.next_index
            if complete:
                self.next_index += 1
                self.writer.write_token(token.index, token.text)
        if not complete:
            self.end(AttemptError('token_gap', Outcome.run))

    def _on_finished(self, finished: Finished) -> None:
        if self._withdrawn:
            self.end(AttemptError('withdrawn', Outcome.run))
            return
        with self._lock:
            if self.ended:
                return
            complete = finished.token_count == self.next_index
            if complete:
                self.writer.finish(finished.finish_reason)
                self._set_ended(None)
        if complete:
            self._on_end(self, None)
        else:
            self.end(AttemptError('token_gap', Outcome.run))

    def _set_ended(self, failure: AttemptError | None) -> None:
        self.failure = failure
        self._ended.set()
        self._admission_replied.set()


class CallReplyHandler:
    """Receive the answer to one call for a waiting thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._replied = threading.Event()
        self._reply: Message | None = None

    def on_message(self, message: Message) -> None:
        """Keep the first reply and ignore later ones."""
        if not isinstance(message, (ServiceAnswer, Refused, Failed)):
            return
        with self._lock:
            if self._reply is None:
                self._reply = message
                self._replied.set()

    def on_link_lost(self, reason: str) -> None:
        """End the call because its link ended; the outcome is unknown."""
        self.on_message(Failed('', Outcome.unknown, 'link_lost'))

    def on_cut(self, failure: AttemptError) -> None:
        """End the call because this process stops."""
        self.on_message(
            Refused(
                '',
                failure.outcome,
                failure.reason,
                failure.retry_after_seconds,
            )
        )

    def on_expired(self) -> None:
        """End the call because its deadline passed before it was sent."""
        self.on_message(Refused('', Outcome.not_run, 'deadline'))

    def wait_answer(self, timeout_seconds: float) -> ServiceAnswer:
        """Wait for the answer and return it.

        Raises AttemptError when the call failed or no reply came in time.
        """
        self._replied.wait(timeout_seconds)
        match self._reply:
            case ServiceAnswer() as answer:
                return _check_status(answer)
            case Refused() as refused:
                raise AttemptError(
                    refused.reason,
                    Outcome(refused.outcome),
                    retry_after_seconds=refused.retry_after_seconds,
                )
            case Failed() as failed:
                raise AttemptError(failed.reason, Outcome(failed.outcome))
        raise AttemptError('timeout', Outcome.unknown)


def _check_status(answer: ServiceAnswer) -> ServiceAnswer:
    # Agents of older versions pass on what the service sent.
    if answer.status not in FINAL_STATUSES:
        logger.warning(
            'call: status %d is not that of an answer',
            answer.status,
            extra={'request_id': answer.request_id},
        )
        raise AttemptError('service_failed', Outcome.unknown)
    return answer
