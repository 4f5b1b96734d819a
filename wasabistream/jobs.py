"""Generations in an agent, from the gate to the end of the stream."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from wasabistream.buffers import StreamBuffer
from wasabistream.exceptions import LinkError
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.requests import Failed, Finished, Generate, Refused, Token


@dataclass(frozen=True)
class Subscriber:
    """Name the link and request id to which events of a stream are sent."""

    link: Link
    request_id: str


@dataclass(eq=False)
class GenerationJob:
    """Hold the state of one generation from the gate to its end."""

    request: Generate
    stream_id: str
    deadline_monotonic_seconds: float
    buffer: StreamBuffer
    subscriber: Subscriber | None
    ended: bool = False
    # True from just before the request is sent to the engine.
    sent: bool = False
    # The request may crash the engine, so the job runs with no other.
    suspect: bool = False
    cancelled: threading.Event = field(default_factory=threading.Event)
    # When the link of the subscriber closed, or 0.
    orphaned_monotonic_seconds: float = 0
    # Tokens generated so far.
    generated_count: int = 0
    # Expected output length, estimated when the job is queued.
    expected_tokens: float = 0
    queued_monotonic_seconds: float = 0
    last_token_monotonic_seconds: float = 0
    first_token_monotonic_seconds: float = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the job holds in engine memory (KV cache)."""
        return self.request.prompt_tokens + self.generated_count

    @property
    def length_key(self) -> tuple[str, str, str]:
        """Return the key of the output length statistics."""
        request = self.request
        return (request.organisation, request.model, request.work_class)

    @property
    def mean_gap_seconds(self) -> float:
        """Return the mean gap between tokens, or zero before two tokens."""
        gap_count = self.generated_count - 1
        if gap_count < 1:
            return 0
        generation_seconds = (
            self.last_token_monotonic_seconds
            - self.first_token_monotonic_seconds
        )
        return generation_seconds / gap_count

    def try_mark_sent(self) -> bool:
        """Mark the job as sent; return whether it may go to the engine.

        Returns True at most once, and never after a refusal or cancellation.
        """
        with self._lock:
            if self.ended or self.sent or self.cancelled.is_set():
                return False
            self.sent = True
            return True

    def stop(self, reason: str) -> bool:
        """Cancel the job; return whether this refused it before it was sent."""
        with self._lock:
            self.cancelled.set()
            if self.sent or self.ended:
                return False
        return self.refuse(reason)

    def publish(self, text: str) -> None:
        """Append one token and send it to the subscriber."""
        with self._lock:
            index = self.buffer.append(text)
            self.generated_count = index + 1
            self._send_event(lambda request_id: Token(request_id, index, text))

    def finish(self, finish_reason: str) -> None:
        """End the stream as complete."""
        with self._lock:
            if self.ended:
                return
            self.ended = True
            self.buffer.finish(finish_reason)
            self._send_event(
                lambda request_id: Finished(
                    request_id, self.generated_count, finish_reason
                )
            )

    def fail(self, outcome: str, reason: str) -> None:
        """End the stream as failed; `outcome` is a value of Outcome."""
        with self._lock:
            if self.ended:
                return
            self.ended = True
            self.buffer.fail(outcome, reason)
            self._send_event(
                lambda request_id: Failed(
                    request_id, outcome, reason, self.generated_count
                )
            )

    def refuse(self, reason: str, retry_after_seconds: float = 0) -> bool:
        """Refuse a job that was not sent; return whether this ended it."""
        with self._lock:
            if self.ended or self.sent:
                return False
            self.ended = True
            self._send_event(
                lambda request_id: Refused(
                    request_id, 'not_run', reason, retry_after_seconds
                )
            )
            return True

    def attach(self, subscriber: Subscriber, from_index: int) -> bool:
        """Resume the stream for a subscriber; return False if not buffered."""

        with self._lock:
            events = self.buffer.read(subscriber.request_id, from_index)
            if events is None:
                return False
            # Without a final event, the entry of the earlier subscriber would
            # wait forever.
            self._send_event(
                lambda request_id: Failed(
                    request_id, 'run', 'resumed_elsewhere', from_index
                )
            )
            self.subscriber = subscriber
            self.orphaned_monotonic_seconds = 0
            for event in events:
                subscriber.link.send(event)
            return True

    def detach(self, link: Link, now: float) -> None:
        """Drop the subscriber of a closed link and record the time."""
        with self._lock:
            if self.subscriber is not None and self.subscriber.link is link:
                self.subscriber = None
                self.orphaned_monotonic_seconds = now

    def discard_texts(self) -> None:
        """Free the prompt and events of a stream that cannot be resumed."""
        with self._lock:
            self.buffer = StreamBuffer(0)
            self.request = replace(self.request, prompt='')

    def _send_event(self, build: Callable[[str], Message]) -> None:
        if self.subscriber is None:
            return
        try:
            self.subscriber.link.send(build(self.subscriber.request_id))
        except LinkError:
            self.subscriber = None
