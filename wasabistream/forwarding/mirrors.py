"""Local copy of the contents of the read-only store."""

import logging
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wasabistream.restores.store_versions import StoreVersion

logger = logging.getLogger(__name__)


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
    """Hold the changes that lead from one version of a mirror to another."""

    before_version: StoreVersion
    version: StoreVersion
    changes: tuple[MirrorChange, ...]


DifferenceHandler = Callable[[MirrorDifference], object]


class StoreMirror:
    """Hold the newest known items; the version never decreases.

    Changes come from the store or from a peer that has read it. All changes up
    to the version are known here; a listing that was read in pages may hold
    later ones. An older listing never replaces a newer one. Revisions of items
    are compared within one epoch only; the first listing of a new epoch
    replaces all items.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._items: dict[str, MirrorItem] = {}
        self._handlers: list[ChangeHandler] = []
        self._difference_handlers: list[DifferenceHandler] = []
        # Set before the handlers are called.
        self.version = StoreVersion()

    def subscribe(self, handler: ChangeHandler) -> None:
        """Call the handler with all items after each change, or a new epoch."""
        self._handlers.append(handler)

    def subscribe_differences(self, handler: DifferenceHandler) -> None:
        """Call the handler with each difference."""
        self._difference_handlers.append(handler)

    def items(self) -> list[MirrorItem]:
        """Return all items."""
        return self.snapshot()[1]

    def snapshot(self) -> tuple[StoreVersion, list[MirrorItem]]:
        """Return all items with their version."""
        with self._lock:
            return self.version, list(self._items.values())

    def apply(
        self, changes: Iterable[MirrorChange], version: StoreVersion
    ) -> bool:
        """Apply changes up to a version; return whether any had an effect.

        Changes of another epoch are ignored.
        """
        with self._lock:
            if version.epoch != self.version.epoch:
                logger.info(
                    'mirror: changes of another epoch are ignored',
                    extra={
                        'epoch': version.epoch,
                        'own_epoch': self.version.epoch,
                    },
                )
                return False
            return self._apply(changes, version, tells_all=True)

    def apply_difference(self, difference: MirrorDifference) -> bool:
        """Apply a difference of another mirror; return False for a gap.

        A difference from an older epoch does not lead on from the own items.
        """
        with self._lock:
            own = self.version
            before = difference.before_version
            if difference.version.epoch < own.epoch:
                return True
            if before.epoch != difference.version.epoch or before > own:
                return difference.version <= own
            self._apply(difference.changes, difference.version, tells_all=False)
            return True

    def replace(
        self, listing: Iterable[MirrorItem], version: StoreVersion
    ) -> bool:
        """Replace all items; return False for a listing that is too old."""
        with self._lock:
            before_version = self.version
            if version < before_version:
                return False
            items = {listed.key: listed for listed in listing}
            if version.epoch == before_version.epoch:
                items.update(self._find_later(items, version.revision))
            self._replace(items, version)
            return True

    def merge_copy(
        self, copied: Iterable[MirrorItem], version: StoreVersion
    ) -> bool:
        """Take a peer's items; return False for a copy that is too old.

        A peer may hold removals back. Items that this mirror knew and that were
        removed do not return with the copy.
        """
        with self._lock:
            own = self.version
            if version < own:
                return False
            items = {
                listed.key: listed
                for listed in copied
                if version.epoch != own.epoch
                or not own.revision
                or listed.key in self._items
                or listed.revision > own.revision
            }
            if version.epoch == own.epoch:
                items.update(self._find_later(items, version.revision))
            self._replace(items, version)
            return True

    def _find_later(
        self, items: Mapping[str, MirrorItem], revision: int
    ) -> dict[str, MirrorItem]:
        """Return the own items that are later than a listing's."""
        return {
            key: known
            for key, known in self._items.items()
            if known.revision > revision
            and (key not in items or known.revision > items[key].revision)
        }

    def _replace(
        self, items: dict[str, MirrorItem], version: StoreVersion
    ) -> None:
        before, before_version = self._items, self.version
        changes: list[MirrorChange] = [
            Removal(removed_key, version.revision)
            for removed_key in before.keys() - items.keys()
        ]
        for key, item in items.items():
            known = before.get(key)
            if known == item:
                # Unchanged items keep their identity for the handlers.
                items[key] = known
            else:
                changes.append(item)
        self._items = items
        self.version = version
        self._notify(before_version, changes, changes)

    def _apply(
        self,
        changes: Iterable[MirrorChange],
        version: StoreVersion,
        *,
        tells_all: bool,
    ) -> bool:
        before_version = self.version
        effective: list[MirrorChange] = []
        # A page of a listing may have held a later item already, which the peers
        # that follow this mirror have not seen. What a peer has told is not told
        # back, or two mirrors would repeat it to each other.
        told: list[MirrorChange] = []
        for change in changes:
            if self._apply_change(change):
                effective.append(change)
                told.append(change)
            elif tells_all and change.revision > before_version.revision:
                told.append(change)
        self.version = max(before_version, version)
        self._notify(before_version, effective, told)
        return bool(effective)

    def _apply_change(self, change: MirrorChange) -> bool:
        # Items up to the own revision are known here, or were removed since. A
        # removal may be older, as it may have been held back.
        if (
            isinstance(change, MirrorItem)
            and change.revision <= self.version.revision
        ):
            return False
        existing = self._items.get(change.key)
        if existing is not None and existing.revision >= change.revision:
            return False
        if isinstance(change, MirrorItem):
            self._items[change.key] = change
            return True
        return self._items.pop(change.key, None) is not None

    def _notify(
        self,
        before_version: StoreVersion,
        effective: list[MirrorChange],
        told: list[MirrorChange],
    ) -> None:
        # Handlers run under the lock, so that they see changes in order.
        if effective or self.version.epoch > before_version.epoch:
            for handler in self._handlers:
                handler(self._items)
        if told or self.version > before_version:
            difference = MirrorDifference(
                before_version, self.version, tuple(told)
            )
            for difference_handler in self._difference_handlers:
                difference_handler(difference)
