"""Interface of streams that callers resume to the stream forwarder."""

from typing import Protocol

from wasabistream.continuations.first_events import FirstEvent
from wasabistream.forwarding.replies import build_refusal
from wasabistream.forwarding.requests import Reply
from wasabistream.forwarding.supervisors import RequestWatch


class ResumeGate(Protocol):
    """Decide where streams go on, and record what began them."""

    def prepare(self, watch: RequestWatch) -> Reply | None:
        """Bind a request that resumes a stream; return its refusal, if any."""

    def record_first_event(
        self, watch: RequestWatch, first: FirstEvent | None
    ) -> None:
        """Record what began a stream, before its caller gets an event."""

    def withdraw(self, watch: RequestWatch) -> None:
        """Withdraw the record of a stream whose version is in doubt."""


class NoResumes:
    """Refuse all streams that callers resume."""

    def prepare(self, watch: RequestWatch) -> Reply | None:
        """Return the refusal of a request that resumes a stream."""
        if watch.request.resume_claim is None:
            return None
        return build_refusal(watch.request.deadline.remaining_seconds)

    def record_first_event(
        self, watch: RequestWatch, first: FirstEvent | None
    ) -> None:
        """Record nothing."""

    def withdraw(self, watch: RequestWatch) -> None:
        """Withdraw nothing."""
