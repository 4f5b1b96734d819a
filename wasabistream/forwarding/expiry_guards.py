"""Guard against entries that lapse while the store is away."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabistream.forwarding.mirrors import (
    MirrorChange,
    MirrorItem,
    Removal,
    StoreMirror,
)

# Backend servers whose entries lapsed while the store was away write them
# again within about two seconds of its return.
REREGISTRATION_SECONDS = 2.2
# A shorter loss lets no entry lapse.
MIN_OUTAGE_SECONDS = 1.0


class ExpiryGuard:
    """Hold removals back for a while after the store has returned.

    An entry that is still missing after that time is removed.
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
        """Tell whether removals are held back."""
        return bool(self._pending_removals)

    def on_store_regained(self, away_seconds: float) -> None:
        """Start to hold removals back."""
        if away_seconds >= MIN_OUTAGE_SECONDS:
            self._guarded_until_seconds = self._clock() + REREGISTRATION_SECONDS

    def apply(self, changes: Iterable[MirrorChange], revision: int) -> None:
        """Apply changes; removals wait while entries may come back."""
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
        """Take over a listing; items that it lacks count as removed."""
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
        """Apply the removals whose entries have not come back."""
        with self._lock:
            if self._pending_removals and not self._is_guarding:
                removals = list(self._pending_removals.values())
                self._pending_removals.clear()
                self._mirror.apply(removals, self._mirror.revision)

    @property
    def _is_guarding(self) -> bool:
        return self._clock() < self._guarded_until_seconds
