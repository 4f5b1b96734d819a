"""Attempts that an entry has sent and not yet seen ended."""

import threading
from collections.abc import Sequence
from typing import Protocol

from wasabistream.links import Link
from wasabistream.messages import Message


class AttemptFollower(Protocol):
    """Receive the messages of one attempt on the reader thread."""

    def on_message(self, message: Message) -> None:
        """Handle one message of the attempt."""

    def on_lost(self, reason: str) -> None:
        """Handle the end of the link before the end of the attempt."""


class AttemptTable:
    """Find the follower of each message by request id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._followers: dict[str, tuple[Link, AttemptFollower]] = {}

    @property
    def count(self) -> int:
        """Return how many attempts are open."""
        return len(self._followers)

    def request_ids(self) -> list[str]:
        """Return the ids of open attempts."""
        return list(self._followers)

    def add(
        self, request_id: str, link: Link, follower: AttemptFollower
    ) -> None:
        """Follow an attempt before it is sent."""
        with self._lock:
            self._followers[request_id] = (link, follower)

    def remove(self, request_id: str) -> None:
        """Forget an attempt that ended; later messages are ignored."""
        with self._lock:
            self._followers.pop(request_id, None)

    def deliver(self, link: Link, received: Sequence[Message]) -> None:
        """Hand messages to their followers."""
        for message in received:
            request_id = getattr(message, 'request_id', '')
            sender, follower = self._followers.get(request_id, (None, None))
            # A message of another link is from an attempt given up earlier.
            if follower is not None and sender is link:
                follower.on_message(message)

    def link_closed(self, link: Link, reason: str) -> None:
        """Tell all followers of a link that it ended."""
        with self._lock:
            lost = [
                (request_id, follower)
                for request_id, (sender, follower) in self._followers.items()
                if sender is link
            ]
            for request_id, _ in lost:
                self._followers.pop(request_id, None)
        for _, follower in lost:
            follower.on_lost(reason)
