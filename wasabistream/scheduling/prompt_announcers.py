"""Announcement of an attempt's prompt to the agent of its engine."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

from wasabistream.forwarding.requests import Continuation
from wasabistream.forwarding.supervisors import RequestWatch
from wasabistream.scheduling.interfaces import PromptNotifier


def _never(_: str) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class PromptAnnouncer:
    """Announce prompts of scheduled services until their first events."""

    notifier: PromptNotifier
    # Returns whether a service is scheduled.
    is_scheduled: Callable[[str], bool] = _never

    @contextmanager
    def announce(
        self,
        endpoint: str,
        watch: RequestWatch,
        continuation: Continuation | None,
    ) -> Iterator[None]:
        """Announce an attempt until its first event or the block's end."""
        request = watch.request
        # A moved generation has its memory there and needs no prefill.
        is_moved = continuation is not None and continuation.handle != ''
        if (
            is_moved
            or request.demand is None
            or not self.is_scheduled(request.service)
        ):
            yield
            return
        self.notifier.announce_prompt(endpoint, request)
        watch.begin_first_event_wait(
            partial(self.notifier.end_prompt, endpoint, request.request_id)
        )
        try:
            yield
        finally:
            watch.end_first_event_wait()
