"""Local copy of the contents of the read-only store."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Hold one item and the revision at which it was written."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """Describe the removal of a key at a revision."""

    key: str
    revision: int


MirrorChange = MirrorItem | Removal
ChangeHandler = Callable[[Mapping[str, MirrorItem]], None]


class StoreMirror:
    """Hold the newest known items; the revision never decreases.

    Changes come from the store or from a peer that has read it. An older
    listing never replaces a newer one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._items: dict[str, MirrorItem] = {}
        self._handlers: list[ChangeHandler] = []
        self.revision = 0

    def subscribe(self, handler: ChangeHandler) -> None:
        """Call the handler with all items after each change."""
        self._handlers.append(handler)

    def items(self) -> list[MirrorItem]:
        """Return all items."""
        with self._lock:
            return list(self._items.values())

    def apply(self, changes: Iterable[MirrorChange], revision: int) -> bool:
        """Apply changes up to a revision; return whether any had an effect."""
        with self._lock:
            changed = [self._apply_change(change) for change in changes]
            self.revision = max(self.revision, revision)
            if any(changed):
                self._notify()
            return any(changed)

    def replace(self, listing: Iterable[MirrorItem], revision: int) -> bool:
        """Replace all items; return False for a listing that is too old."""
        with self._lock:
            if revision < self.revision:
                return False
            items = {listed.key: listed for listed in listing}
            changed = items != self._items
            self._items = items
            self.revision = revision
            if changed:
                self._notify()
            return True

    def _apply_change(self, change: MirrorChange) -> bool:
        existing = self._items.get(change.key)
        if existing is not None and existing.revision >= change.revision:
            return False
        if isinstance(change, MirrorItem):
            self._items[change.key] = change
            return True
        return self._items.pop(change.key, None) is not None

    def _notify(self) -> None:
        # Handlers run under the lock, so that they see changes in order.
        for handler in self._handlers:
            handler(self._items)
