"""Protection of known items when the store returns from an older copy."""

import logging
import math
import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from wasabistream.forwarding.mirrors import MirrorItem
from wasabistream.metrics import HELD_STORE_ITEMS
from wasabistream.restores.pending_holds import PendingHolds
from wasabistream.restores.restored_items import (
    RESTORE_HOLD_SECONDS,
    Hold,
    SupersededItems,
    apply_holds,
    find_copied_revision,
    find_holds,
    list_changed_keys,
    revision_of,
)

logger = logging.getLogger(__name__)

MAX_LOGGED_KEY_COUNT = 10

HoldsHandler = Callable[[int, Sequence[Hold]], None]


class RestoreGuard:
    """Hold known items against a store that has lost its last changes.

    What the operator and the servers wrote is written again some seconds after
    the return. Until then a hold keeps the known item, or its absence. It ends
    when its key is written or removed anew, or after a time, unless its key is
    one of `lasting_keys`.
    """

    def __init__(
        self,
        apply: Callable[[Mapping[str, MirrorItem]], None],
        epoch: Callable[[], int],
        lasting_keys: frozenset[str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._apply = apply
        # Epoch of the mirror's items; must not take the mirror's lock.
        self._read_epoch = epoch
        self._lasting_keys = lasting_keys
        self._clock = clock
        self._lock = threading.Lock()
        self._handlers: list[HoldsHandler] = []
        # None before the first items.
        self._epoch: int | None = None
        # Items of the mirror, which changes its own dictionary in place.
        self._listed: dict[str, MirrorItem] = {}
        self._holds: dict[str, Hold] = {}
        self._superseded = SupersededItems()
        # What a listing after a return has replaced. It may have replaced a
        # later state by that of the copy, so it says nothing about peers' holds.
        self._replaced = SupersededItems()
        self._pending = PendingHolds()

    @property
    def waiting(self) -> bool:
        """Return whether holds end at a time."""
        return any(
            math.isfinite(hold.until_seconds)
            for hold in tuple(self._holds.values())
        )

    def subscribe(self, handler: HoldsHandler) -> None:
        """Call the handler with the epoch and the holds made at a return."""
        self._handlers.append(handler)

    def current_holds(self) -> tuple[int, list[Hold]]:
        """Return the epoch and the holds in force."""
        with self._lock:
            return self._epoch or 0, list(self._holds.values())

    def on_items(self, items: Mapping[str, MirrorItem]) -> None:
        """Apply all items of the mirror after a change of items or epoch.

        Called under the mirror's lock.
        """
        made: list[Hold] = []
        with self._lock:
            epoch = self._read_epoch()
            # Earlier builds of other entries state no epoch.
            has_returned = bool(self._epoch) and epoch != self._epoch
            self._epoch = epoch
            if has_returned:
                made = self._hold_known(items)
            else:
                self._record_changes(items)
            self._take(self._pending.pop_epoch(epoch, self._clock()))
            self._apply_effective(items)
        if made:
            for handler in self._handlers:
                handler(epoch, made)

    def apply_due(self) -> None:
        """End the holds whose time is over."""
        if not self._holds:
            return
        with self._lock:
            now = self._clock()
            due = [
                hold
                for hold in self._holds.values()
                if hold.until_seconds <= now
            ]
            if not due:
                return
            for hold in due:
                self._holds.pop(hold.key)
                self._record_superseded([hold.known], None, self._superseded)
            self._report_end(due, 'time')
            self._apply_effective(self._listed)

    def add_peer_holds(self, epoch: int, holds: Sequence[Hold]) -> None:
        """Take the holds of a peer for keys that have not changed since."""
        with self._lock:
            if self._epoch is None or epoch > self._epoch:
                self._pending.add(epoch, holds, self._clock())
            elif epoch == self._epoch and self._take(holds):
                self._apply_effective(self._listed)

    def _hold_known(self, items: Mapping[str, MirrorItem]) -> list[Hold]:
        until_seconds = self._clock() + RESTORE_HOLD_SECONDS
        known = self._effective(self._listed)
        holds = find_holds(
            known,
            items,
            find_copied_revision(self._listed, items),
            self._is_superseded,
            lambda key: (
                math.inf if key in self._lasting_keys else until_seconds
            ),
        )
        ended = [hold for hold in self._holds.values() if hold.key not in holds]
        for key in list_changed_keys(known, items):
            if key not in holds:
                self._record_superseded(
                    (known.get(key), self._listed.get(key)),
                    items.get(key),
                    self._replaced,
                )
        self._listed = dict(items)
        self._holds = {}
        self._report_end(ended, 'written')
        self._add_holds(holds.values(), 'own')
        return list(holds.values())

    def _record_changes(self, items: Mapping[str, MirrorItem]) -> None:
        ended = []
        for key in list_changed_keys(self._listed, items):
            before = self._listed.pop(key, None)
            after = items.get(key)
            if after is not None:
                self._listed[key] = after
            if before == after:
                continue
            outdated = [before]
            hold = self._holds.pop(key, None)
            if hold is not None:
                ended.append(hold)
                outdated.append(hold.known)
            self._record_superseded(outdated, after, self._superseded)
        # Not by the time of a return: an outage may last longer than the memory.
        self._superseded.remove_old(self._clock())
        self._replaced.remove_old(self._clock())
        self._report_end(ended, 'written')

    def _take(self, holds: Iterable[Hold]) -> bool:
        taken = [hold for hold in holds if self._corrects_listing(hold)]
        self._add_holds(taken, 'peer')
        return bool(taken)

    def _corrects_listing(self, hold: Hold) -> bool:
        """Return whether a peer's hold corrects the own listing."""
        listed = self._listed.get(hold.key)
        if listed == hold.known or not self._is_newest(hold):
            return False
        if revision_of(listed) != hold.listed_revision:
            # The key has been written or removed since.
            return False
        if hold.known is not None and hold.known in self._superseded:
            # The peer has missed a change, such as a server's removal.
            return False
        return hold.until_seconds > self._clock()

    def _is_newest(self, hold: Hold) -> bool:
        own = self._holds.get(hold.key)
        if own is None:
            return True
        if own.known is None or hold.known is None:
            return False
        return hold.known.revision > own.known.revision

    def _add_holds(self, holds: Collection[Hold], source: str) -> None:
        now = self._clock()
        for added in holds:
            self._holds[added.key] = added
            listed = self._listed.get(added.key)
            if listed is not None:
                self._superseded.add(listed, now)
        if holds:
            logger.warning(
                'store: items are held after its return from an older copy',
                extra={
                    'epoch': self._epoch,
                    'source': source,
                    'missing_count': sum(
                        not hold.listed_revision for hold in holds
                    ),
                    'removed_count': sum(hold.known is None for hold in holds),
                    **_describe_keys(holds),
                },
            )
        HELD_STORE_ITEMS.set(len(self._holds))

    def _report_end(self, ended: Collection[Hold], reason: str) -> None:
        HELD_STORE_ITEMS.set(len(self._holds))
        if ended:
            logger.info(
                'store: holds ended',
                extra={
                    'epoch': self._epoch,
                    'reason': reason,
                    'remaining_count': len(self._holds),
                    **_describe_keys(ended),
                },
            )

    def _is_superseded(self, listed: MirrorItem) -> bool:
        # A hold that lasts outlives the record of superseded items.
        return (
            listed in self._superseded
            or listed in self._replaced
            or (
                listed.key in self._holds
                and self._listed.get(listed.key) == listed
            )
        )

    def _record_superseded(
        self,
        outdated: Iterable[MirrorItem | None],
        after: MirrorItem | None,
        record: SupersededItems,
    ) -> None:
        now = self._clock()
        for item in outdated:
            if item is not None and item != after:
                record.add(item, now)

    def _effective(
        self, listing: Mapping[str, MirrorItem]
    ) -> Mapping[str, MirrorItem]:
        if not self._holds:
            return listing
        return apply_holds(listing, self._holds.values())

    def _apply_effective(self, listing: Mapping[str, MirrorItem]) -> None:
        # Under the lock, so that items are applied in order.
        self._apply(self._effective(listing))


def _describe_keys(holds: Collection[Hold]) -> dict[str, object]:
    keys = sorted(hold.key for hold in holds)
    return {'count': len(keys), 'keys': keys[:MAX_LOGGED_KEY_COUNT]}
