"""Progress of a stream to its caller."""

import time
from dataclasses import dataclass, field

from wasabistream.continuations.first_events import FirstEvent
from wasabistream.metrics import (
    FIRST_EVENT_ERROR_SECONDS,
    FIRST_TOKEN_SECONDS,
)


@dataclass
class StreamProgress:
    """Track how much of a stream has been sent to its caller."""

    has_begun: bool = False
    last_event_id: str = ''
    event_count: int = 0
    # Bytes of the events.
    byte_count: int = 0
    move_count: int = 0
    # Prompts that waited at the engine when the last attempt was sent there.
    waiting_count: int = 0
    # Time to the first event, as predicted when the last attempt was sent;
    # None for requests that are not scheduled.
    predicted_seconds: float | None = None
    complete: bool = False
    # None before the first event; binds the stream to a software version.
    first_event: FirstEvent | None = None
    started_seconds: float = field(default_factory=time.monotonic)
    first_event_seconds: float = 0
    last_event_at_seconds: float = 0
    longest_gap_seconds: float = 0

    @property
    def awaits_version(self) -> bool:
        """Return whether only the version of its engine's start is missing."""
        return self.first_event is not None and self.first_event.awaits_version

    @property
    def has_unknown_start(self) -> bool:
        """Return whether nobody has confirmed the start that began the stream."""
        return self.first_event is not None and (
            not self.first_event.is_start_known
        )

    def count_event(self, event_id: str, byte_count: int = 0) -> None:
        """Record an event that was sent to the caller.

        The id of the last event stays in force after one without an id.
        """
        now = time.monotonic()
        if self.event_count:
            gap_seconds = now - self.last_event_at_seconds
            self.longest_gap_seconds = max(
                self.longest_gap_seconds, gap_seconds
            )
        else:
            self.first_event_seconds = now - self.started_seconds
            FIRST_TOKEN_SECONDS.observe(self.first_event_seconds)
        self.last_event_at_seconds = now
        self.last_event_id = event_id or self.last_event_id
        self.event_count += 1
        self.byte_count += byte_count

    def observe_prediction(self, measured_seconds: float) -> None:
        """Observe the error of the prediction at the first event.

        After a move, the first event comes from another engine than predicted.
        """
        if self.predicted_seconds is not None and not self.move_count:
            FIRST_EVENT_ERROR_SECONDS.observe(
                measured_seconds - self.predicted_seconds
            )

    @property
    def is_continuable(self) -> bool:
        """Return whether another generation may continue the stream.

        Without the id of the last event it would start again from the first.
        """
        return not self.event_count or bool(self.last_event_id)

    @property
    def outcome(self) -> str:
        """Return how the stream ended, as a value for logs and metrics."""
        if not self.has_begun:
            return 'answered'
        return 'complete' if self.complete else 'cut'
