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


@dataclass(frozen=True, slots=True)
class MirrorDifference:
    """Hold the changes that lead from one revision of a mirror to another."""

    before_revision: int
    revision: int
    changes: tuple[MirrorChange, ...]


DifferenceHandler = Callable[[MirrorDifference], object]


class StoreMirror:
    """Hold the newest known items; the revision never decreases.

    Changes come from the store or from a peer that has read it. An older
    listing never replaces a newer one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._items: dict[str, MirrorItem] = {}
        self._handlers: list[ChangeHandler] = []
        self._difference_handlers: list[DifferenceHandler] = []
        self.revision = 0

    def subscribe(self, handler: ChangeHandler) -> None:
        """Call the handler with all items after each change."""
        self._handlers.append(handler)

    def subscribe_differences(self, handler: DifferenceHandler) -> None:
        """Call the handler with each difference."""
        self._difference_handlers.append(handler)

    def items(self) -> list[MirrorItem]:
        """Return all items."""
        with self._lock:
            return list(self._items.values())

    def apply(self, changes: Iterable[MirrorChange], revision: int) -> bool:
        """Apply changes up to a revision; return whether any had an effect."""
        with self._lock:
            return self._apply(changes, revision)

    def apply_difference(self, difference: MirrorDifference) -> bool:
        """Apply a difference of another mirror; return False for a gap."""
        with self._lock:
            if difference.before_revision > self.revision:
                return False
            self._apply(difference.changes, difference.revision)
            return True

    def replace(self, listing: Iterable[MirrorItem], revision: int) -> bool:
        """Replace all items; return False for a listing that is too old."""
        with self._lock:
            if revision < self.revision:
                return False
            items = {listed.key: listed for listed in listing}
            before = self._items
            changes: list[MirrorChange] = [
                listed
                for listed in items.values()
                if before.get(listed.key) != listed
            ]
            changes.extend(
                Removal(key, revision) for key in before.keys() - items.keys()
            )
            before_revision = self.revision
            self._items = items
            self.revision = revision
            self._notify(before_revision, changes)
            return True

    def _apply(self, changes: Iterable[MirrorChange], revision: int) -> bool:
        effective = [change for change in changes if self._apply_change(change)]
        before_revision = self.revision
        self.revision = max(before_revision, revision)
        self._notify(before_revision, effective)
        return bool(effective)

    def _apply_change(self, change: MirrorChange) -> bool:
        # Items up to the own revision are known here, or were removed since. A
        # removal may be older, as it may have been held back.
        if isinstance(change, MirrorItem) and change.revision <= self.revision:
            return False
        existing = self._items.get(change.key)
        if existing is not None and existing.revision >= change.revision:
            return False
        if isinstance(change, MirrorItem):
            self._items[change.key] = change
            return True
        return self._items.pop(change.key, None) is not None

    def _notify(
        self, before_revision: int, changes: list[MirrorChange]
    ) -> None:
        # Handlers run under the lock, so that they see changes in order.
        if changes:
            for handler in self._handlers:
                handler(self._items)
        if changes or self.revision > before_revision:
            difference = MirrorDifference(
                before_revision, self.revision, tuple(changes)
            )
            for difference_handler in self._difference_handlers:
                difference_handler(difference)
