"""Observers of callers' requests."""

from wasabistream.forwarding.requests import ForwardRequest


class RequestObserver:
    """Observe requests as they arrive and streams as they complete."""

    def on_arrival(self, request: ForwardRequest) -> None:
        """Handle a request that is about to be forwarded."""

    def on_complete_stream(
        self, request: ForwardRequest, byte_count: int
    ) -> None:
        """Handle the end of a complete stream with its bytes."""


NO_OBSERVER = RequestObserver()
