"""Application of store items on a thread of its own."""

import logging
import threading
from collections.abc import Callable, Mapping
from functools import partial

from wasabistream.forwarding.mirrors import MirrorItem

logger = logging.getLogger(__name__)

ItemsHandler = Callable[[Mapping[str, MirrorItem]], None]


class ItemApplier:
    """Pass on the latest items; those that come meanwhile replace one another.

    Decoding a large configuration takes a busy process a second. On the thread
    that receives the messages of all links it held up the next ones, and each
    of several changes in a row was decoded in turn.
    """

    def __init__(
        self, apply: ItemsHandler, refresh: Callable[[], None]
    ) -> None:
        self._apply = apply
        self._refresh = refresh
        self._condition = threading.Condition()
        self._pending: Callable[[], None] | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name='items', daemon=True).start()

    def stop(self) -> None:
        """Stop after the items that are being applied."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify()

    def put(self, items: Mapping[str, MirrorItem]) -> None:
        """Have the items applied soon; the caller may change them afterwards."""
        taken = dict(items)
        with self._condition:
            self._pending = partial(self._apply, taken)
            self._condition.notify()

    def put_refresh(self) -> None:
        """Have the view refreshed once the pending items are applied.

        After an outage of the store, a view of the items from before it would
        lack the engines that have registered since.
        """
        with self._condition:
            # Applying items refreshes the view too.
            self._pending = self._pending or self._refresh
            self._condition.notify()

    def _run(self) -> None:
        call = self._take()
        while call is not None:
            try:
                call()
            except Exception:
                # The next items must still be applied.
                logger.exception('store: items could not be applied')
            call = self._take()

    def _take(self) -> Callable[[], None] | None:
        with self._condition:
            self._condition.wait_for(
                lambda: self._is_stopped or self._pending is not None
            )
            call = self._pending
            self._pending = None
            return None if self._is_stopped else call
