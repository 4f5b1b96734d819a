"""Attempts that an entry has sent and not yet seen ended."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.links import Link
from wasabistream.messages import Message


class ReplyHandler(Protocol):
    """Receive the messages of one attempt on the reader thread."""

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""

    def on_lost(self, reason: str) -> None:
        """Handle the end of the link before the end of the attempt."""


@dataclass(frozen=True, slots=True)
class _OpenAttempt:
    """Hold the link and the follower of one attempt."""

    link: Link
    handler: ReplyHandler
    on_removed: Callable[[], None] | None


class AttemptTable:
    """Find the follower of each message by request id.

    An attempt leaves the table exactly once, by `remove` or `link_closed`,
    whichever comes first; `on_removed` runs then.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[str, _OpenAttempt] = {}

    @property
    def count(self) -> int:
        """Return how many attempts are open."""
        return len(self._open)

    def add(
        self,
        request_id: str,
        link: Link,
        handler: ReplyHandler,
        on_removed: Callable[[], None] | None = None,
    ) -> None:
        """Follow an attempt before it is sent."""
        with self._lock:
            self._open[request_id] = _OpenAttempt(link, handler, on_removed)

    def remove(self, request_id: str) -> bool:
        """Forget an attempt; later messages are ignored.

        Returns False when it was not in the table any more.
        """
        with self._lock:
            removed = self._open.pop(request_id, None)
        if removed is not None and removed.on_removed is not None:
            removed.on_removed()
        return removed is not None

    def deliver(self, link: Link, received: Sequence[Message]) -> None:
        """Hand messages to their followers."""
        for message in received:
            request_id = getattr(message, 'request_id', '')
            attempt = self._open.get(request_id)
            # A message of another link is from an attempt given up earlier.
            if attempt is not None and attempt.link is link:
                attempt.handler.on_message(message)

    def link_closed(self, link: Link, reason: str) -> None:
        """Tell all followers of a link that it ended."""
        with self._lock:
            lost_ids = [
                request_id
                for request_id, attempt in self._open.items()
                if attempt.link is link
            ]
            lost = [self._open.pop(request_id) for request_id in lost_ids]
        for attempt in lost:
            if attempt.on_removed is not None:
                attempt.on_removed()
            attempt.handler.on_lost(reason)
