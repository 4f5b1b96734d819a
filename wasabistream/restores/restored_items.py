"""Decisions on the items of a store that has returned from an older copy."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wasabistream.digests import hash64_with_body
from wasabistream.forwarding.mirrors import MirrorItem

# Three heartbeats of 1.2 s, after which the store itself has removed servers
# that are gone, and a margin.
RESTORE_HOLD_SECONDS = 6.0
# The copy is some seconds old.
SUPERSEDED_MEMORY_SECONDS = 120.0
MAX_SUPERSEDED_COUNT = 10_000
# Revision of a key that a listing lacks; those of the store begin above 0.
MISSING_REVISION = 0


@dataclass(frozen=True, slots=True)
class Hold:
    """Keep what is known of a key although the returned store differs."""

    key: str
    # Revision of the key in the store's listing, or MISSING_REVISION.
    listed_revision: int
    # None: the key is known to be removed.
    known: MirrorItem | None
    # Monotonic time; infinite for a hold that only a write ends.
    until_seconds: float = math.inf


class SupersededItems:
    """Remember items that were replaced or removed, by their hashes."""

    def __init__(self) -> None:
        # Ordered by time.
        self._seen_seconds: dict[int, float] = {}

    def __contains__(self, item: MirrorItem) -> bool:
        return _hash_item(item) in self._seen_seconds

    def add(self, item: MirrorItem, now_seconds: float) -> None:
        """Record an item that is no longer valid."""
        item_hash = _hash_item(item)
        self._seen_seconds.pop(item_hash, None)
        self._seen_seconds[item_hash] = now_seconds
        if len(self._seen_seconds) > MAX_SUPERSEDED_COUNT:
            self._seen_seconds.pop(next(iter(self._seen_seconds)))

    def remove_old(self, now_seconds: float) -> None:
        """Forget what was recorded too long ago."""
        oldest = now_seconds - SUPERSEDED_MEMORY_SECONDS
        while self._seen_seconds:
            item_hash, seen_seconds = next(iter(self._seen_seconds.items()))
            if seen_seconds >= oldest:
                return
            self._seen_seconds.pop(item_hash)


def find_holds(
    known: Mapping[str, MirrorItem],
    listing: Mapping[str, MirrorItem],
    copied_revision: int,
    is_superseded: Callable[[MirrorItem], bool],
    choose_until_seconds: Callable[[str], float],
) -> dict[str, Hold]:
    """Return the holds by key after the store has returned with a listing.

    An item that the listing lacks, or has as it was before a later change, was
    changed after the copy. Any other difference is a write after the return,
    unless its revision is not above `copied_revision`.
    """
    holds = {}
    for key in known.keys() | listing.keys():
        known_item = known.get(key)
        listed = listing.get(key)
        if listed == known_item:
            continue
        until_seconds = choose_until_seconds(key)
        # What was lost may be written again at its former revision, so a hold
        # without a limit needs an earlier state that was seen.
        is_copied = (
            listed is not None
            and listed.revision <= copied_revision
            and math.isfinite(until_seconds)
        )
        if listed is None or is_copied or is_superseded(listed):
            holds[key] = Hold(
                key, revision_of(listed), known_item, until_seconds
            )
    return holds


def find_copied_revision(
    listed_before: Mapping[str, MirrorItem], listing: Mapping[str, MirrorItem]
) -> int:
    """Return a revision that the copy has reached, or 0.

    Items that are as they were listed before the return come from the copy, and
    all that is written after the return has higher revisions. So an entry that
    did not see an item's earlier state recognises it too.
    """
    return max(
        (
            listed.revision
            for key, listed in listing.items()
            if listed_before.get(key) == listed
        ),
        default=MISSING_REVISION,
    )


def apply_holds(
    listing: Mapping[str, MirrorItem], holds: Iterable[Hold]
) -> dict[str, MirrorItem]:
    """Return the items of a listing with held ones in their place.

    Held ones come first: of two servers at one address the last one counts, and
    a held server may have left its address to another.
    """
    known_items = {hold.key: hold.known for hold in holds}
    effective = {
        key: item for key, item in known_items.items() if item is not None
    }
    effective.update(
        (key, item) for key, item in listing.items() if key not in known_items
    )
    return effective


def list_changed_keys(
    before: Mapping[str, MirrorItem], after: Mapping[str, MirrorItem]
) -> list[str]:
    """Return the keys that are new, removed or have another item object."""
    # Compares identities, as most of thousands of items are the same objects.
    changed = [
        key for key, item in after.items() if before.get(key) is not item
    ]
    added_count = sum(key not in before for key in changed)
    if len(before) + added_count > len(after):
        changed.extend(before.keys() - after.keys())
    return changed


def revision_of(item: MirrorItem | None) -> int:
    """Return the revision of an item, or that of a missing one."""
    return MISSING_REVISION if item is None else item.revision


def _hash_item(item: MirrorItem) -> int:
    return hash64_with_body(item.content, item.key, str(item.revision))
