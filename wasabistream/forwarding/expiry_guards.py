"""Protection from store items that expire during a store outage."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabistream.forwarding.mirrors import (
    MirrorChange,
    MirrorItem,
    Removal,
    StoreMirror,
)

# Backend servers whose items expired during an outage of the store register
# again within about two seconds of its end.
REREGISTRATION_SECONDS = 2.2
# In a shorter outage no item expires.
MIN_OUTAGE_SECONDS = 1.0


class ExpiryGuard:
    """Delay removals for a while after an outage of the store.

    Items that are still missing after that time are removed.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._mirror = mirror
        self._clock = clock
        self._lock = threading.Lock()
        self._guarded_until_seconds = 0.0
        self._pending_removals: dict[str, Removal] = {}

    @property
    def waiting(self) -> bool:
        """Return whether removals are delayed."""
        return bool(self._pending_removals)

    def on_store_regained(self, away_seconds: float) -> None:
        """Start delaying removals if the outage was long enough."""
        if away_seconds >= MIN_OUTAGE_SECONDS:
            self._guarded_until_seconds = self._clock() + REREGISTRATION_SECONDS

    def apply(self, changes: Iterable[MirrorChange], revision: int) -> None:
        """Apply changes; removals are delayed while items may return."""
        with self._lock:
            immediate: list[MirrorChange] = []
            for change in changes:
                self._pending_removals.pop(change.key, None)
                if isinstance(change, Removal) and self._is_guarding:
                    self._pending_removals[change.key] = change
                else:
                    immediate.append(change)
            self._mirror.apply(immediate, revision)

    def replace(self, listing: Iterable[MirrorItem], revision: int) -> None:
        """Replace all items; missing items count as removed."""
        with self._lock:
            items = {listed.key: listed for listed in listing}
            for existing in self._mirror.items():
                if existing.key not in items and self._is_guarding:
                    self._pending_removals[existing.key] = Removal(
                        existing.key, revision
                    )
                    items[existing.key] = existing
            self._mirror.replace(items.values(), revision)

    def apply_due_removals(self) -> None:
        """Apply the delayed removals once their delay has passed."""
        with self._lock:
            if self._pending_removals and not self._is_guarding:
                removals = list(self._pending_removals.values())
                self._pending_removals.clear()
                self._mirror.apply(removals, self._mirror.revision)

    @property
    def _is_guarding(self) -> bool:
        return self._clock() < self._guarded_until_seconds
