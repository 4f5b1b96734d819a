"""Delivery of values to a handler in their order, from any thread."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

Content = TypeVar('Content')


class OrderedDelivery(Generic[Content]):
    """Call a handler with each value, one at a time, in the order of `add`.

    A handler that kept the last of two values delivered out of order would use
    an older one until the next change.
    """

    def __init__(self, handler: Callable[[Content], None]) -> None:
        self._handler = handler
        self._lock = threading.Lock()
        self._pending: deque[Content] = deque()

    def add(self, content: Content) -> None:
        """Queue a value; call under the lock that decides the order."""
        self._pending.append(content)

    def flush(self) -> None:
        """Deliver all queued values; call without that lock.

        On return the caller's own values are delivered, by this thread or
        another one.
        """
        with self._lock:
            while self._pending:
                self._handler(self._pending.popleft())
