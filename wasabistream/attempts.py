"""Table of the attempts of an entry that have not ended.

An attempt is one send of a request to one agent.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabistream.exceptions import AttemptError
from wasabistream.links import Link
from wasabistream.messages import Message
from wasabistream.outcomes import Outcome

# Time after which another entry has taken over, as callers are told.
RETRY_AFTER_SECONDS = 1


class ReplyHandler(Protocol):
    """Receive the messages of one attempt, on the thread of the links."""

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""

    def on_link_lost(self, reason: str) -> None:
        """Handle a link that ended before the attempt did."""

    def on_cut(self, failure: AttemptError) -> None:
        """End the attempt because this process stops."""


@dataclass(frozen=True, slots=True)
class _OpenAttempt:
    """Hold the link and the reply handler of one attempt."""

    link: Link
    handler: ReplyHandler
    on_removed: Callable[[], None] | None


class AttemptTable:
    """Deliver the messages of agents to reply handlers by request id.

    An attempt is removed exactly once, by `remove`, `on_link_closed` or `close`,
    whichever comes first; its `on_removed` is called then.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_closed = False
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
        """Add an attempt; call it before the attempt is sent.

        Raises AttemptError if the table is closed.
        """
        with self._lock:
            is_closed = self._is_closed
            if not is_closed:
                self._open_attempts[request_id] = _OpenAttempt(
                    link, handler, on_removed
                )
        if is_closed:
            if on_removed is not None:
                on_removed()
            raise _build_stop_failure(Outcome.not_run)

    @property
    def is_closed(self) -> bool:
        """Tell whether the table takes no more attempts."""
        return self._is_closed

    def close(self) -> None:
        """End all attempts and take no more, as this process stops."""
        with self._lock:
            self._is_closed = True
            cut_attempts = list(self._open_attempts.values())
            self._open_attempts.clear()
        for attempt in cut_attempts:
            if attempt.on_removed is not None:
                attempt.on_removed()
            # It has been sent, and may run.
            attempt.handler.on_cut(_build_stop_failure(Outcome.unknown))

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


def _build_stop_failure(outcome: Outcome) -> AttemptError:
    return AttemptError('draining', outcome, '', RETRY_AFTER_SECONDS)
