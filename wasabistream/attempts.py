"""Table of the attempts of an entry that have not ended.

An attempt is one send of a request to one agent.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.links import Link
from wasabistream.messages import Message


class ReplyHandler(Protocol):
    """Receive the messages of one attempt, on the thread of the links."""

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""

    def on_link_lost(self, reason: str) -> None:
        """Handle a link that ended before the attempt did."""


@dataclass(frozen=True, slots=True)
class _OpenAttempt:
    """Hold the link and the reply handler of one attempt."""

    link: Link
    handler: ReplyHandler
    on_removed: Callable[[], None] | None


class AttemptTable:
    """Deliver the messages of agents to reply handlers by request id.

    An attempt is removed exactly once, by `remove` or `on_link_closed`,
    whichever comes first; its `on_removed` is called then.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open_attempts: dict[str, _OpenAttempt] = {}

    @property
    def count(self) -> int:
        """Return how many attempts are open."""
        return len(self._open_attempts)

    def add(
        self,
        request_id: str,
        link: Link,
        handler: ReplyHandler,
        on_removed: Callable[[], None] | None = None,
    ) -> None:
        """Add an attempt; call it before the attempt is sent."""
        with self._lock:
            self._open_attempts[request_id] = _OpenAttempt(
                link, handler, on_removed
            )

    def remove(self, request_id: str) -> bool:
        """Remove an attempt; its later messages are ignored.

        Returns False if it had been removed before.
        """
        with self._lock:
            removed = self._open_attempts.pop(request_id, None)
        if removed is not None and removed.on_removed is not None:
            removed.on_removed()
        return removed is not None

    def deliver(self, link: Link, received: Sequence[Message]) -> None:
        """Pass messages from a link to the reply handlers.

        Messages that belong to no open attempt are ignored.
        """
        for message in received:
            request_id = getattr(message, 'request_id', '')
            attempt = self._open_attempts.get(request_id)
            # A message over another link is from an attempt given up earlier.
            if attempt is not None and attempt.link is link:
                attempt.handler.on_message(message)

    def on_link_closed(self, link: Link, reason: str) -> None:
        """Remove the attempts of a link that ended; notify their handlers."""
        with self._lock:
            closed_ids = [
                request_id
                for request_id, attempt in self._open_attempts.items()
                if attempt.link is link
            ]
            closed_attempts = [
                self._open_attempts.pop(request_id) for request_id in closed_ids
            ]
        for attempt in closed_attempts:
            if attempt.on_removed is not None:
                attempt.on_removed()
            attempt.handler.on_link_lost(reason)
