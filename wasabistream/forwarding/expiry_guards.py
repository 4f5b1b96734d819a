"""Protection from store items that expire during a store outage."""

import logging
import threading
import time
from collections.abc import Callable, Container, Iterable

from wasabistream.forwarding.mirrors import (
    MirrorChange,
    MirrorItem,
    Removal,
    StoreMirror,
)
from wasabistream.restores.store_versions import StoreVersion

logger = logging.getLogger(__name__)

# Backend servers whose items expired during an outage of the store register
# again within about two seconds of its end.
REREGISTRATION_SECONDS = 2.2
# In a shorter outage no item expires.
MIN_OUTAGE_SECONDS = 1.0
# An outage in which no call failed shows only in its effect: most items expire
# at once. Shorter than the time for which a server serves after its removal.
MASS_REMOVAL_DELAY_SECONDS = 1.5
MASS_REMOVAL_RATIO = 0.5
MASS_REMOVAL_MIN_COUNT = 4


class ExpiryGuard:
    """Delay removals for a while after an outage of the store.

    Items that are still missing after that time are removed. The removal of
    most items at once counts as a sign of an outage. The first listing of a new
    epoch is taken as it is: what it lacks has not expired.
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
        # Epoch of the pending removals.
        self._epoch = 0

    @property
    def waiting(self) -> bool:
        """Return whether removals are delayed."""
        return bool(self._pending_removals)

    def on_store_regained(self, away_seconds: float) -> None:
        """Start delaying removals if the outage was long enough."""
        if away_seconds >= MIN_OUTAGE_SECONDS:
            self._guarded_until_seconds = self._clock() + REREGISTRATION_SECONDS

    def apply(
        self, changes: Iterable[MirrorChange], version: StoreVersion
    ) -> None:
        """Apply changes; removals are delayed while items may return."""
        with self._lock:
            self._enter_epoch()
            listed_changes = list(changes)
            self._detect_mass_removal(
                {
                    change.key
                    for change in listed_changes
                    if isinstance(change, Removal)
                }
            )
            immediate: list[MirrorChange] = []
            for change in listed_changes:
                self._pending_removals.pop(change.key, None)
                if (
                    isinstance(change, Removal)
                    and self._is_guarding
                    and version.epoch == self._epoch
                ):
                    self._pending_removals[change.key] = change
                else:
                    immediate.append(change)
            self._mirror.apply(immediate, version)

    def replace(
        self, listing: Iterable[MirrorItem], version: StoreVersion
    ) -> None:
        """Replace all items; missing items count as removed."""
        with self._lock:
            self._enter_epoch()
            items = {listed.key: listed for listed in listing}
            if version.epoch != self._epoch:
                self._mirror.replace(items.values(), version)
                return
            self._detect_mass_removal(
                {existing.key for existing in self._mirror.items()}
                - items.keys()
            )
            for existing in self._mirror.items():
                if existing.key not in items and self._is_guarding:
                    self._pending_removals[existing.key] = Removal(
                        existing.key, version.revision
                    )
                    items[existing.key] = existing
            if not self._mirror.replace(items.values(), version):
                # Relays have passed on more meanwhile, though not the removals
                # that they hold back.
                self._remove_missing(items, version)

    def apply_due_removals(self) -> None:
        """Apply the delayed removals once their delay has passed."""
        with self._lock:
            version = self._enter_epoch()
            if self._pending_removals and not self._is_guarding:
                removals = list(self._pending_removals.values())
                self._pending_removals.clear()
                self._mirror.apply(removals, version)

    def _remove_missing(
        self, listed: Container[str], version: StoreVersion
    ) -> None:
        removals = [
            Removal(known.key, version.revision)
            for known in self._mirror.items()
            if known.key not in listed
        ]
        self._mirror.apply(removals, version)

    def _enter_epoch(self) -> StoreVersion:
        # Peers may have brought the mirror to a new epoch.
        version = self._mirror.version
        if version.epoch != self._epoch:
            self._epoch = version.epoch
            self._pending_removals.clear()
        return version

    def _detect_mass_removal(self, removed_keys: set[str]) -> None:
        existing_keys = {existing.key for existing in self._mirror.items()}
        removed_count = len(removed_keys & existing_keys)
        if (
            removed_count >= MASS_REMOVAL_MIN_COUNT
            and removed_count > MASS_REMOVAL_RATIO * len(existing_keys)
        ):
            logger.warning(
                'store: %d of %d items removed at once, waiting for their return',
                removed_count,
                len(existing_keys),
            )
            self._guarded_until_seconds = max(
                self._guarded_until_seconds,
                self._clock() + MASS_REMOVAL_DELAY_SECONDS,
            )

    @property
    def _is_guarding(self) -> bool:
        return self._clock() < self._guarded_until_seconds
